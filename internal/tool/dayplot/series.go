// Package dayplot draws a day from the logs of all nodes: latency to the first
// event, waiting and refused requests, and ready upstreams, per second.
//
// # Usage
//
//	day, err := dayplot.Read(files...)
//	err = day.Draw("day.svg")
//
// The extension of the file selects its format: svg, png or pdf.
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
	// maxLineBytes bounds the length of a log line; longer lines are an error.
	maxLineBytes = 1 << 20
	// maxLatency bounds the recorded latencies; longer ones count as maxLatency.
	maxLatency = time.Minute
	// latencyDigits is the precision of latencies in significant decimal digits.
	latencyDigits = 2
)

// Day holds counts of a day per second, counted from the earliest log line.
type Day struct {
	seconds map[int]*secondStats
	// first is the time of the earliest log line.
	first time.Time
	// readyFrom and readyUntil hold the second in which an upstream was first
	// logged as ready and as not ready; each upstream is logged by all nodes.
	readyFrom, readyUntil map[string]int
}

// secondStats holds the counts and latencies of one second.
type secondStats struct {
	latency *hdrhistogram.Histogram
	// waiting counts the requests that began to wait, refused those refused.
	waiting, refused int
}

// line holds the fields of a log line that are evaluated.
type line struct {
	Time     time.Time `json:"time"`
	Step     string    `json:"step"`
	Request  string    `json:"request"`
	AgeMS    int64     `json:"age_ms"`
	Upstream string    `json:"upstream"`
	State    string    `json:"state"`
}

// Read collects a day from the logs of all nodes. Lines that are not JSON or have
// no time are skipped.
func Read(logs ...io.Reader) (*Day, error) {
	var lines []line
	for _, log := range logs {
		scanner := bufio.NewScanner(log)
		scanner.Buffer(nil, maxLineBytes)
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
		seconds: make(map[int]*secondStats), first: lines[0].Time,
		readyFrom: make(map[string]int), readyUntil: make(map[string]int),
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
	second := int(l.Time.Sub(d.first) / time.Second)
	s := d.seconds[second]
	if s == nil {
		s = &secondStats{latency: hdrhistogram.New(1, maxLatency.Milliseconds(), latencyDigits)}
		d.seconds[second] = s
	}
	switch l.Step {
	case "begin":
		// The value is limited to the histogram's range, so it is always recorded.
		_ = s.latency.RecordValue(max(0, min(l.AgeMS, maxLatency.Milliseconds())))
	case "wait":
		s.waiting++
	case "refuse":
		if l.Request != "" {
			s.refused++
		}
	case "upstream":
		d.addUpstream(l, second)
	}
}

// addUpstream records when an upstream was first logged as ready or as not
// ready.
func (d *Day) addUpstream(l line, second int) {
	if l.Upstream == "" {
		return
	}
	times := d.readyUntil
	if l.State == "ready" {
		times = d.readyFrom
	}
	if first, ok := times[l.Upstream]; !ok || second < first {
		times[l.Upstream] = second
	}
}

// readyAt returns the number of upstreams that were ready in a second.
func (d *Day) readyAt(second int) int {
	n := 0
	for id, from := range d.readyFrom {
		until, ended := d.readyUntil[id]
		if from <= second && (!ended || until > second) {
			n++
		}
	}
	return n
}

// lastSecond returns the last second of the day.
func (d *Day) lastSecond() int {
	lastSecond := 0
	for second := range d.seconds {
		lastSecond = max(lastSecond, second)
	}
	return lastSecond
}
