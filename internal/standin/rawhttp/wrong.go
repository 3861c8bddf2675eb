package rawhttp

// WrongHead is a way in which the head of an answer is none.
type WrongHead struct {
	Name string
	// Head returns the head of an answer with a status and reason and with header lines.
	Head func(status, fields string) string
	// HiddenByNetHTTP is set if net/http's client gives no sign of it.
	HiddenByNetHTTP bool
}

// WrongHeads returns the ways in which a head is none by RFC 9112, or is joined from two.
func WrongHeads() []WrongHead {
	begin := func(line string) func(string, string) string {
		return func(_, fields string) string { return line + "\r\n" + fields }
	}
	with := func(line string) func(string, string) string {
		return func(status, fields string) string { return "HTTP/1.1 " + status + "\r\n" + line + "\r\n" + fields }
	}
	after := func(part string) func(string, string) string {
		return func(status, fields string) string { return part + "HTTP/1.1 " + status + "\r\n" + fields }
	}
	return []WrongHead{
		{Name: "status 000", Head: begin("HTTP/1.1 000 Odd")},
		{Name: "status +99", Head: begin("HTTP/1.1 +99 Odd")},
		{Name: "status 600", Head: begin("HTTP/1.1 600 Odd")},
		{Name: "status of letters", Head: begin("HTTP/1.1 2x0 Odd")},
		{Name: "blank before the colon", Head: with("Odd : x")},
		{Name: "blank in a name", Head: with("O dd: x")},
		{Name: "control byte in a name", Head: with("O\x01dd: x")},
		{Name: "control byte in a value", Head: with("Odd: \x01")},
		{Name: "no colon", Head: with("Odd")},
		{Name: "no name", Head: with(": x"), HiddenByNetHTTP: true},
		{Name: "folded", Head: with("Odd: x\r\n y"), HiddenByNetHTTP: true},
		{Name: "joined in the reason", Head: after("HTTP/1.1 200 OK"), HiddenByNetHTTP: true},
		{Name: "joined in a value", Head: after("HTTP/1.1 200 OK\r\nDate: Mon"), HiddenByNetHTTP: true},
		{Name: "other protocol", Head: begin("HTTP/2.0 200 OK"), HiddenByNetHTTP: true},
	}
}
