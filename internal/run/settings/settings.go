package settings

import (
	"fmt"
	"time"

	"github.com/rs/zerolog"

	"monsoonlanding/internal/core/node"
)

// Settings holds the settings of a node.
type Settings struct {
	// Name identifies this VM among all; the platform's notices use it.
	Name string `toml:"name"`
	Zone string `toml:"zone"`
	// Region is the group of nearby zones that Zone belongs to; empty if there is
	// only one region.
	Region string `toml:"region"`
	// Alone is the policy for requests that arrive while the node knows no usable
	// node in another zone to hold their backup.
	Alone    node.AlonePolicy `toml:"alone"`
	Listen   Listen           `toml:"listen"`
	Platform Platform         `toml:"platform"`
	Peers    Peers            `toml:"peers"`
	Operator Operator         `toml:"operator"`
	Limits   Limits           `toml:"limits"`
	Log      Log              `toml:"log"`
}

// Listen holds the addresses that the node listens on, as IP:port.
type Listen struct {
	Caller   string `toml:"caller"`
	Peer     string `toml:"peer"`
	Operator string `toml:"operator"`
}

// Platform holds the base URLs of the platform's object and cloud APIs, and the
// token for both.
type Platform struct {
	Objects string `toml:"objects"`
	Cloud   string `toml:"cloud"`
	Token   string `toml:"token"`
}

// Peers holds the token that nodes share, and seeds to find each other.
type Peers struct {
	Token string `toml:"token"`
	// Seeds are peer addresses to contact while the platform can't be reached.
	Seeds []string `toml:"seeds"`
}

// Operator holds the token by which operators authenticate.
type Operator struct {
	Token string `toml:"token"`
}

// Limits bounds the state that a node holds.
type Limits struct {
	// MemoryBytes bounds the memory for requests and answers.
	MemoryBytes int `toml:"memory_bytes"`
	// Connections bounds the callers' connections, and those of peers and operators each to a
	// quarter of it.
	Connections int `toml:"connections"`
	// Retention is the period for which an ended request is kept for callers
	// that reconnect.
	Retention Duration `toml:"retention"`
	// ProgressTokens bounds the number of tokens of an answer that have not been
	// sent to its backup yet.
	ProgressTokens int `toml:"progress_tokens"`
	// QueueCount and QueueBytes bound the queue of each service.
	QueueCount int `toml:"queue_count"`
	QueueBytes int `toml:"queue_bytes"`
}

// Log configures the log.
type Log struct {
	Level string `toml:"level"`
}

// Duration is a time.Duration written as text, such as "60s".
type Duration struct{ time.Duration }

// UnmarshalText parses text in the format of time.ParseDuration.
func (d *Duration) UnmarshalText(text []byte) error {
	v, err := time.ParseDuration(string(text))
	d.Duration = v
	return err
}

// Problem is an error in a settings file. Line is 0 for a missing key.
type Problem struct {
	Line    int
	Key     string
	Message string
}

// String formats the problem with its line and key.
func (p Problem) String() string {
	if p.Line == 0 {
		return fmt.Sprintf("%s: %s", p.Key, p.Message)
	}
	return fmt.Sprintf("line %d: %s: %s", p.Line, p.Key, p.Message)
}

// Parse reads a settings file and returns all its problems.
func Parse(text string) (Settings, []Problem) {
	c := checker{lines: keyLines(text)}
	s := c.decode(text, func() any { return defaults() }).(*Settings)
	c.check(s)
	return *s, c.problems
}

// DefaultConnections is the default of Limits.Connections.
const DefaultConnections = 4096

func defaults() *Settings {
	d := node.DefaultConfig(node.Config{}.Self, 0)
	return &Settings{
		Alone: d.Alone,
		Limits: Limits{
			MemoryBytes:    d.MemoryBytes,
			Connections:    DefaultConnections,
			Retention:      Duration{d.Retention},
			ProgressTokens: d.ProgressTokens,
			QueueCount:     d.QueueCount,
			QueueBytes:     d.QueueBytes,
		},
		Log: Log{Level: zerolog.InfoLevel.String()},
	}
}

func (c *checker) check(s *Settings) {
	c.required("name", s.Name)
	c.required("zone", s.Zone)
	c.required("platform.token", s.Platform.Token)
	c.required("peers.token", s.Peers.Token)
	c.required("operator.token", s.Operator.Token)
	c.address("listen.caller", s.Listen.Caller)
	c.address("listen.peer", s.Listen.Peer)
	c.address("listen.operator", s.Listen.Operator)
	c.checkSeeds(s.Peers)
	c.baseURL("platform.objects", s.Platform.Objects)
	c.baseURL("platform.cloud", s.Platform.Cloud)
	c.positive("limits.memory_bytes", s.Limits.MemoryBytes)
	c.positive("limits.connections", s.Limits.Connections)
	c.positive("limits.progress_tokens", s.Limits.ProgressTokens)
	c.positive("limits.queue_count", s.Limits.QueueCount)
	c.positive("limits.queue_bytes", s.Limits.QueueBytes)
	c.positiveDuration("limits.retention", s.Limits.Retention)
	if s.Alone != node.AloneRefuse && s.Alone != node.AloneAccept {
		c.report("alone", `%q is neither "refuse" nor "accept"`, s.Alone)
	}
	c.checkLogLevel(s.Log)
}
