package gateway

import (
	"strconv"
	"testing"

	"monsoonlanding/internal/standin/rawhttp"
)

// TestStatusOutOfRangeIsNoAnswer: an answer with status 000 was skipped like an informational one, and what came
// behind it was taken as the answer.
func TestStatusOutOfRangeIsNoAnswer(t *testing.T) {
	whole := "HTTP/1.1 200 OK\r\n" + plainHead + rawhttp.Length(len(document)) + "\r\n" + document
	for _, status := range []string{"000", "+99", "099", "600", "101"} {
		answerEnd{status, unsafePath, one("HTTP/1.1 "+status+" Odd\r\n"+plainHead+rawhttp.Length(len(document)), document), failed}.run(t)
		joined := rawhttp.Answer{Head: "HTTP/1.1 " + status + " Odd\r\n", Body: whole}
		answerEnd{status + ", then another answer", unsafePath, []rawhttp.Answer{joined}, failed}.run(t)
	}
}

// oddFields are lines of a head that are none by the grammar of field names and values.
var oddFields = map[string]string{
	"blank before the colon": "Odd : x\r\n",
	"blank in the name":      "O dd: x\r\n",
	"tab in the name":        "O\tdd: x\r\n",
	"control byte":           "O\x01dd: x\r\n",
	"no name":                ": x\r\n",
	"no colon":               "Odd\r\n",
	"folded":                 "Odd: x\r\n y\r\n",
	"control byte in value":  "Odd: \x01\r\n",
}

// TestOddFieldNameIsNoAnswer: a line whose field name held a blank was ignored or passed on, and a length
// on such a line gave a body that was not the upstream's.
func TestOddFieldNameIsNoAnswer(t *testing.T) {
	length := rawhttp.Length(len(document))
	for name, line := range oddFields {
		answerEnd{name, unsafePath, one(plainHead+line+length, document), failed}.run(t)
		answerEnd{name + ", in an event stream", oncePath, one(streamHead+line+rawhttp.Length(len(threeEvents)), threeEvents), failed}.run(t)
		answerEnd{name + ", in an error", unsafePath, one("HTTP/1.1 500 Error\r\n"+line+length, document), failed}.run(t)
	}
	for name, framing := range map[string]string{
		"length with a blank before the colon": "Content-Length : " + strconv.Itoa(len(document)-2) + "\r\n",
		"coding with a blank before the colon": "Transfer-Encoding : chunked\r\n",
		"two framings":                         rawhttp.Chunked + length,
		"two lengths":                          length + length,
	} {
		answerEnd{name, unsafePath, one(plainHead+framing, document), failed}.run(t)
	}
	whole := received{200, "length", document, true}
	odd := rawhttp.Answer{Head: plainHead + oddFields["blank in the name"] + length, Body: document}
	sound := rawhttp.Answer{Head: plainHead + length, Body: document}
	answerEnd{"repeated", safePath, []rawhttp.Answer{odd, sound}, whole}.run(t)
}

// TestPartOfAnswerBeforeAnotherIsNoAnswer: the first line of an extra answer that was broken off was joined with the
// next answer's, so that a failure reached the caller as a success.
func TestPartOfAnswerBeforeAnotherIsNoAnswer(t *testing.T) {
	failure := "HTTP/1.1 500 Internal Server Error\r\n" + plainHead + rawhttp.Length(len(document))
	for name, part := range map[string]string{
		"status line":       "HTTP/1.1 200 OK",
		"status":            "HTTP/1.1 200 ",
		"value of a header": "HTTP/1.1 200 OK\r\nDate: Mon",
	} {
		answerEnd{name, unsafePath, one(part+failure, document), failed}.run(t)
	}
}
