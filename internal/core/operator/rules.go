package operator

import (
	"crypto/sha256"
	"encoding/hex"
	"sort"
	"time"

	"monsoonlanding/internal/core/upstream"
)

// Service is a rule that declares a service.
type Service struct {
	Kind upstream.Kind `toml:"kind"`
	// Version is the version for traffic that no move directs to another
	// version; empty means any version.
	Version string `toml:"version"`
	// FirstToken and BetweenTokens are latency targets.
	FirstToken    Duration `toml:"first_token"`
	BetweenTokens Duration `toml:"between_tokens"`
	// QueueCount bounds the number of requests waiting on one node.
	QueueCount int `toml:"queue_count"`
	// Timeout bounds the time without output from an upstream.
	Timeout Duration `toml:"timeout"`
}

// Version is a rule that describes one version of a service's upstreams.
type Version struct {
	Service       string `toml:"service"`
	Name          string `toml:"name"`
	ChecksFencing bool   `toml:"checks_fencing"`
	// Resumes is set if the version's engines can continue an answer from given
	// tokens.
	Resumes bool `toml:"resumes"`
}

// Team is a rule that admits a team of callers.
type Team struct {
	// KeySHA256 is the hex digest of the team's bearer key.
	KeySHA256 string  `toml:"key_sha256"`
	Weight    float64 `toml:"weight"`
	// MaxInFlight bounds the team's requests in flight at all nodes together; 0
	// means no bound.
	MaxInFlight int `toml:"max_in_flight"`
}

// OnDeadline is the action on a move that is undecided at its deadline.
type OnDeadline string

// Actions on an undecided move.
const (
	DeadlineRollback OnDeadline = "rollback"
	DeadlineFinish   OnDeadline = "finish"
)

// MoveRule is a rule that requests a move of traffic between versions.
type MoveRule struct {
	Service    string     `toml:"service"`
	From       string     `toml:"from"`
	To         string     `toml:"to"`
	By         time.Time  `toml:"by"`
	OnDeadline OnDeadline `toml:"on_deadline"`
}

// Duration is a time.Duration written as text, such as "720ms".
type Duration struct{ time.Duration }

// UnmarshalText parses a duration in the form of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	d.Duration = v
	return err
}

// Source is the position of a rule in the rules file, its text and its comment.
type Source struct {
	line    int
	rule    string
	comment string
}

// Line returns the line number, from 1.
func (s Source) Line() int { return s.line }

// Rule returns the line of the rule, including its comment.
func (s Source) Rule() string { return s.rule }

// Comment returns the rule's comment, which names who requested the rule.
func (s Source) Comment() string { return s.comment }

// Rules is an accepted set of rules. The zero value is empty.
type Rules struct {
	text     string
	services map[string]Service
	versions map[string]Version
	teams    map[string]Team
	moves    map[string]MoveRule
	sources  map[string]Source
	keys     map[string]string
}

// Text returns the rules as written.
func (r *Rules) Text() string { return r.text }

// Empty reports whether the set has no rules.
func (r *Rules) Empty() bool { return len(r.sources) == 0 }

// Service returns a declared service.
func (r *Rules) Service(name string) (Service, bool) {
	s, ok := r.services[name]
	return s, ok
}

// Team returns a declared team.
func (r *Rules) Team(name string) (Team, bool) {
	t, ok := r.teams[name]
	return t, ok
}

// Move returns a declared move.
func (r *Rules) Move(name string) (MoveRule, bool) {
	m, ok := r.moves[name]
	return m, ok
}

// Services returns the names of the declared services, sorted.
func (r *Rules) Services() []string {
	names := make([]string, 0, len(r.services))
	for name := range r.services {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Moves returns the names of the declared moves, sorted.
func (r *Rules) Moves() []string {
	names := make([]string, 0, len(r.moves))
	for name := range r.moves {
		names = append(names, name)
	}
	sort.Strings(names)
	return names
}

// Resumes reports whether a version's engines can continue an answer from given
// tokens. It returns true for a version that no rule describes.
func (r *Rules) Resumes(service, version string) bool {
	for _, v := range r.versions {
		if v.Service == service && v.Name == version {
			return v.Resumes
		}
	}
	return true
}

// Source returns the source of the rule with the given name, such as
// "service.plans".
func (r *Rules) Source(name string) Source { return r.sources[name] }

// TeamByKey returns the team that a bearer key belongs to.
func (r *Rules) TeamByKey(key string) (string, bool) {
	sum := sha256.Sum256([]byte(key))
	name, ok := r.keys[hex.EncodeToString(sum[:])]
	return name, ok
}
