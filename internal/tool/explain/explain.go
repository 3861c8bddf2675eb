// Package explain collects the decisions on one request from the logs of all
// nodes.
//
// # Lines
//
// Logs are JSON lines as the nodes write them. Text before the first brace of a
// line, such as the time at which a collector received it, is ignored. A
// [Trace] holds the lines whose field "request" is the request's ID, in the
// order of their times. Lines that contain the ID but are not JSON are counted
// and skipped.
//
// # Usage
//
//	trace, err := explain.Read("9c41d07be2a35f68", files...)
//	err = trace.Print(os.Stdout)
package explain

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/go-faster/errors"
)

// maxLineBytes bounds the length of a log line; longer lines are an error.
const maxLineBytes = 1 << 20

// Line is a decision on the request.
type Line struct {
	Time    time.Time
	Node    string
	Step    string
	Message string
	// Fields holds the other fields as name=value, sorted by name.
	Fields []string
}

// Trace holds the log lines of a request.
type Trace struct {
	Request string
	Lines   []Line
	// Unparsed counts the lines that contain the request's ID but are not JSON.
	Unparsed int
}

// Read collects the lines of a request from the logs.
func Read(request string, logs ...io.Reader) (Trace, error) {
	trace := Trace{Request: request}
	for _, log := range logs {
		if err := trace.read(log); err != nil {
			return trace, errors.Wrap(err, "read log")
		}
	}
	slices.SortStableFunc(trace.Lines, func(a, b Line) int { return a.Time.Compare(b.Time) })
	return trace, nil
}

func (t *Trace) read(log io.Reader) error {
	scanner := bufio.NewScanner(log)
	scanner.Buffer(nil, maxLineBytes)
	for scanner.Scan() {
		text := scanner.Bytes()
		if !bytes.Contains(text, []byte(t.Request)) {
			continue
		}
		start := bytes.IndexByte(text, '{')
		var fields map[string]any
		if start < 0 || json.Unmarshal(text[start:], &fields) != nil {
			t.Unparsed++
			continue
		}
		if fields["request"] == t.Request {
			t.Lines = append(t.Lines, newLine(fields))
		}
	}
	return scanner.Err()
}

func newLine(fields map[string]any) Line {
	line := Line{
		Node:    takeString(fields, "node"),
		Step:    takeString(fields, "step"),
		Message: takeString(fields, "message"),
	}
	// A line without a valid time keeps the zero time, so it is sorted first.
	if t, err := time.Parse(time.RFC3339Nano, takeString(fields, "time")); err == nil {
		line.Time = t
	}
	delete(fields, "request")
	delete(fields, "level")
	for name, value := range fields {
		line.Fields = append(line.Fields, fmt.Sprintf("%s=%v", name, value))
	}
	slices.Sort(line.Fields)
	return line
}

// takeString removes a field and returns it, or "" if it is not a string.
func takeString(fields map[string]any, name string) string {
	value, _ := fields[name].(string)
	delete(fields, name)
	return value
}

// Print writes one line per decision.
func (t Trace) Print(w io.Writer) error {
	if len(t.Lines) == 0 {
		_, err := fmt.Fprintf(w, "no line about request %s\n", t.Request)
		return err
	}
	for _, l := range t.Lines {
		_, err := fmt.Fprintf(w, "%s %s %-7s %s  %s\n", l.Time.Format("15:04:05.000"), l.Node, l.Step, l.Message, strings.Join(l.Fields, " "))
		if err != nil {
			return err
		}
	}
	return nil
}
