package gateway

import (
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
