package upstream

import (
	"slices"
	"strings"
	"time"
)

const (
	// crashesToQuarantine is the number of crashes that quarantine a content.
	crashesToQuarantine = 2
	// zoneFailureWindow and zoneFailureCrashes define a zone failure: this many
	// upstreams of a zone crash within the window. Such crashes are not
	// attributed to a request.
	zoneFailureWindow  = 2 * time.Second
	zoneFailureCrashes = 3
	// sameCrashWindow is the maximum time between two failed requests on one
	// upstream that are attributed to the same crash.
	sameCrashWindow = time.Second
	// suspectRetention is the retention period of a suspicion after the latest
	// report of a crash.
	suspectRetention = time.Hour
)

// suspicion holds the names of the crashes of a content.
type suspicion struct {
	crashes   []string
	updatedAt time.Time
}

type crash struct {
	at       time.Time
	upstream string
	// name distinguishes this crash from others of the same upstream, which may
	// have restarted in between.
	name    string
	zone    string
	content uint64
}

// PoisonDetector detects request contents that crash upstreams.
type PoisonDetector struct {
	contents      map[uint64]*suspicion
	recentCrashes []crash
}

// NewPoisonDetector returns a detector without suspicions.
func NewPoisonDetector() *PoisonDetector {
	return &PoisonDetector{contents: make(map[uint64]*suspicion)}
}

// RecordCrash records that the upstream crashed during a dispatch of content that
// began at started. It reports whether the crash counts against the content; a
// crash in a zone failure does not.
func (p *PoisonDetector) RecordCrash(now, started time.Time, id, zone string, content uint64) bool {
	p.expire(now)
	name := p.crashName(now, started, id)
	p.recentCrashes = append(p.recentCrashes, crash{at: now, upstream: id, name: name, zone: zone, content: content})
	if p.zoneFailed(zone) {
		p.clearZone(zone)
		return false
	}
	p.MergeCrashes(now, content, []string{name})
	return true
}

// crashName returns the name of a crash. Requests that fail on one upstream
// within sameCrashWindow were in the same crash, unless one began after the
// other had failed.
func (p *PoisonDetector) crashName(now, started time.Time, id string) string {
	for _, c := range p.recentCrashes {
		if c.upstream == id && now.Sub(c.at) < sameCrashWindow && !started.After(c.at) {
			return c.name
		}
	}
	return id + "@" + now.UTC().Format(time.RFC3339Nano)
}

// MergeCrashes merges crashes, such as those received from a peer, and reports
// whether any of them was not known yet.
func (p *PoisonDetector) MergeCrashes(now time.Time, content uint64, crashes []string) bool {
	s := p.contents[content]
	if s == nil {
		s = &suspicion{}
		p.contents[content] = s
	}
	added := false
	for _, name := range crashes {
		if !slices.Contains(s.crashes, name) {
			s.crashes = append(s.crashes, name)
			added = true
		}
	}
	s.updatedAt = now
	return added
}

// Crashes returns the names of the crashes that happened while the content was
// running.
func (p *PoisonDetector) Crashes(content uint64) []string {
	s := p.contents[content]
	if s == nil {
		return nil
	}
	return slices.Clone(s.crashes)
}

// Suspected reports whether the content has at least one crash.
func (p *PoisonDetector) Suspected(content uint64) bool { return len(p.Crashes(content)) > 0 }

// RemoveCrashes removes the crashes of the upstream since the given time. It is
// called once a reclaim of the upstream is known to have caused them.
func (p *PoisonDetector) RemoveCrashes(id string, since time.Time) {
	for content, s := range p.contents {
		s.crashes = slices.DeleteFunc(s.crashes, func(name string) bool {
			upstream, at := parseCrashName(name)
			return upstream == id && !at.Before(since)
		})
		if len(s.crashes) == 0 {
			delete(p.contents, content)
		}
	}
}

// parseCrashName returns the upstream and the time in a name from crashName. A
// name in another form is returned as the upstream, with the zero time.
func parseCrashName(name string) (id string, at time.Time) {
	i := strings.LastIndexByte(name, '@')
	if i < 0 {
		return name, time.Time{}
	}
	at, err := time.Parse(time.RFC3339Nano, name[i+1:])
	if err != nil {
		return name, time.Time{}
	}
	return name[:i], at
}

// SuspectedContents returns the suspected contents in ascending order.
func (p *PoisonDetector) SuspectedContents() []uint64 {
	var contents []uint64
	for c := range p.contents {
		contents = append(contents, c)
	}
	slices.Sort(contents)
	return contents
}

// Quarantined reports whether the content has enough crashes to be quarantined.
func (p *PoisonDetector) Quarantined(content uint64) bool {
	return len(p.Crashes(content)) >= crashesToQuarantine
}

// zoneFailed reports whether at least zoneFailureCrashes upstreams of the zone
// crashed within zoneFailureWindow.
func (p *PoisonDetector) zoneFailed(zone string) bool {
	var upstreams []string
	for _, c := range p.recentCrashes {
		if c.zone == zone && !slices.Contains(upstreams, c.upstream) {
			upstreams = append(upstreams, c.upstream)
		}
	}
	return len(upstreams) >= zoneFailureCrashes
}

// clearZone removes the suspicions of contents that were in recent crashes of
// the zone. A content that is already quarantined stays quarantined.
func (p *PoisonDetector) clearZone(zone string) {
	for _, c := range p.recentCrashes {
		if c.zone != zone {
			continue
		}
		s := p.contents[c.content]
		if s == nil || len(s.crashes) >= crashesToQuarantine {
			continue
		}
		delete(p.contents, c.content)
	}
}

func (p *PoisonDetector) expire(now time.Time) {
	p.recentCrashes = slices.DeleteFunc(p.recentCrashes, func(c crash) bool { return now.Sub(c.at) > zoneFailureWindow })
	for content, s := range p.contents {
		if now.Sub(s.updatedAt) > suspectRetention {
			delete(p.contents, content)
		}
	}
}
