package settings

import (
	"fmt"
	"net"
	"net/netip"
	"net/url"
	"strings"

	"github.com/go-faster/errors"
	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
	"github.com/rs/zerolog"
)

// maxDecodePasses bounds the number of times that a file is decoded. Each pass
// that fails reports at least one problem.
const maxDecodePasses = 50

// checker collects the problems of a file.
type checker struct {
	lines    map[string]int
	problems []Problem
}

// report adds a problem of a key, unless the key has one already.
func (c *checker) report(key, format string, args ...any) {
	for _, p := range c.problems {
		if p.Key == key {
			return
		}
	}
	c.problems = append(c.problems, Problem{Line: c.lines[key], Key: key, Message: fmt.Sprintf(format, args...)})
}

// decode decodes text into the defaults; newDefaults returns a pointer to a new
// copy of them. A line with an error is reported and blanked, and the rest is
// decoded again, so that all errors are reported.
func (c *checker) decode(text string, newDefaults func() any) any {
	lines := strings.Split(text, "\n")
	for range maxDecodePasses {
		s := newDefaults()
		dec := toml.NewDecoder(strings.NewReader(strings.Join(lines, "\n"))).DisallowUnknownFields()
		err := dec.Decode(s)
		if err == nil {
			return s
		}
		for _, line := range c.reportDecodeError(err) {
			lines[line-1] = ""
		}
	}
	return newDefaults()
}

// reportDecodeError reports a decoder's error and returns the lines that it
// concerns.
func (c *checker) reportDecodeError(err error) []int {
	var strict *toml.StrictMissingError
	if errors.As(err, &strict) {
		var lines []int
		for _, e := range strict.Errors {
			line, _ := e.Position()
			c.problems = append(c.problems, Problem{Line: line, Key: strings.Join(e.Key(), "."), Message: "unknown key"})
			lines = append(lines, line)
		}
		return lines
	}
	var de *toml.DecodeError
	if errors.As(err, &de) {
		line, _ := de.Position()
		c.problems = append(c.problems, Problem{Line: line, Key: strings.Join(de.Key(), "."), Message: strings.TrimPrefix(de.Error(), "toml: ")})
		return []int{line}
	}
	c.problems = append(c.problems, Problem{Line: 1, Message: err.Error()})
	return []int{1}
}

func (c *checker) checkSeeds(p Peers) {
	for _, seed := range p.Seeds {
		c.address("peers.seeds", seed)
	}
}

func (c *checker) checkLogLevel(l Log) {
	if _, err := zerolog.ParseLevel(l.Level); err != nil {
		c.report("log.level", "%q is no log level", l.Level)
	}
}

func (c *checker) required(key, value string) {
	if value == "" {
		c.report(key, "is required")
	}
}

func (c *checker) positive(key string, value int) {
	if value <= 0 {
		c.report(key, "must be more than zero")
	}
}

func (c *checker) address(key, value string) {
	if value == "" {
		c.report(key, "is required")
		return
	}
	host, _, err := net.SplitHostPort(value)
	if err != nil {
		c.report(key, "%q is not IP:port", value)
		return
	}
	if _, err := netip.ParseAddr(host); err != nil {
		c.report(key, "%q is not an IP number", host)
	}
}

func (c *checker) baseURL(key, value string) {
	if value == "" {
		c.report(key, "is required")
		return
	}
	u, err := url.Parse(value)
	if err != nil || u.Scheme != "http" && u.Scheme != "https" || u.Host == "" {
		c.report(key, "%q is no http URL", value)
	}
}

// keyLines returns the line number of each key, by its full dotted name.
func keyLines(text string) map[string]int {
	lines := make(map[string]int)
	p := unstable.Parser{}
	p.Reset([]byte(text))
	table := ""
	for p.NextExpression() {
		e := p.Expression()
		var parts []string
		line := 0
		for it := e.Key(); it.Next(); {
			parts = append(parts, string(it.Node().Data))
			line = p.Shape(it.Node().Raw).Start.Line
		}
		key := strings.Join(parts, ".")
		switch e.Kind {
		case unstable.Table:
			table = key + "."
		case unstable.KeyValue:
			lines[table+key] = line
		}
	}
	return lines
}

func (c *checker) positiveDuration(key string, d Duration) {
	if d.Duration <= 0 {
		c.report(key, "must be more than zero")
	}
}
