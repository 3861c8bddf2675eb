// Package dayplot draws what happened on a day from the logs of all nodes:
// times to the first event, requests waiting and refused, and upstreams, by the
// second.
//
// # Usage
//
//	day, err := dayplot.Read(files...)
//	err = day.Draw("day.svg")
//
// The file's ending chooses its format: svg, png or pdf.
package dayplot

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/go-faster/errors"
)

const (
	// lineBytes bounds a log line.
	lineBytes = 1 << 20
	// longest is the longest latency that is told apart from longer ones.
	longest = time.Minute
	// digits is how many decimal digits of a latency are kept.
	digits = 2
)

// Day is what the logs tell of a day, by the second since its first line.
type Day struct {
	seconds map[int]*second
	first   time.Time
	// ready and gone hold the second at which each upstream was first listed as
	// ready, and left; all nodes tell of each.
	ready, gone map[string]int
}

// second is what happened in one second.
type second struct {
	began            *hdrhistogram.Histogram
	waiting, refused int
}

// line holds the fields of a log line that are drawn.
type line struct {
	Time     time.Time `json:"time"`
	Step     string    `json:"step"`
	Request  string    `json:"request"`
	AgeMS    int64     `json:"age_ms"`
	Upstream string    `json:"upstream"`
	State    string    `json:"state"`
}

// Read collects a day from the logs of its nodes. Lines that are not JSON, or
// without a time, are passed over.
func Read(logs ...io.Reader) (*Day, error) {
	var lines []line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, lineBytes)
		for scanner.Scan() {
			if l, ok := parse(scanner.Bytes()); ok {
				lines = append(lines, l)
			}
		}
		if err := scanner.Err(); err != nil {
			return nil, errors.Wrap(err, "read log")
		}
	}
	if len(lines) == 0 {
		return nil, errors.New("the logs have no line with a time")
	}
	return newDay(lines), nil
}

func parse(text []byte) (line, bool) {
	start := bytes.IndexByte(text, '{')
	if start < 0 {
		return line{}, false
	}
	var l line
	if json.Unmarshal(text[start:], &l) != nil || l.Time.IsZero() {
		return line{}, false
	}
	return l, true
}

func newDay(lines []line) *Day {
	d := &Day{
		seconds: make(map[int]*second), first: lines[0].Time,
		ready: make(map[string]int), gone: make(map[string]int),
	}
	for _, l := range lines {
		if l.Time.Before(d.first) {
			d.first = l.Time
		}
	}
	for _, l := range lines {
		d.add(l)
	}
	return d
}

func (d *Day) add(l line) {
	at := int(l.Time.Sub(d.first) / time.Second)
	s := d.seconds[at]
	if s == nil {
		s = &second{began: hdrhistogram.New(1, longest.Milliseconds(), digits)}
		d.seconds[at] = s
	}
	switch l.Step {
	case "begin":
		// The value is within the histogram's range, so that it is always taken.
		_ = s.began.RecordValue(max(0, min(l.AgeMS, longest.Milliseconds())))
	case "wait":
		s.waiting++
	case "refuse":
		if l.Request != "" {
			s.refused++
		}
	case "upstream":
		d.upstream(l, at)
	}
}

// upstream notes when an upstream was first seen ready or not.
func (d *Day) upstream(l line, at int) {
	if l.Upstream == "" {
		return
	}
	seen := d.gone
	if l.State == "ready" {
		seen = d.ready
	}
	if first, ok := seen[l.Upstream]; !ok || at < first {
		seen[l.Upstream] = at
	}
}

// readyAt returns how many upstreams were ready in a second.
func (d *Day) readyAt(at int) int {
	n := 0
	for id, from := range d.ready {
		until, left := d.gone[id]
		if from <= at && (!left || until > at) {
			n++
		}
	}
	return n
}

// last returns the last second of the day.
func (d *Day) last() int {
	last := 0
	for at := range d.seconds {
		last = max(last, at)
	}
	return last
}
