package settings

import (
	"time"

	"github.com/rs/zerolog"

	"monsoonlanding/internal/core/placement"
)

// Gateway holds the settings of a node on the users' platform.
type Gateway struct {
	// Name identifies this VM among all.
	Name string `toml:"name"`
	Zone string `toml:"zone"`
	// FirstStart is set if the whole system starts for the first time: no earlier
	// process can have spent quota or retries, or ordered VMs.
	FirstStart bool             `toml:"first_start"`
	Listen     GatewayListen    `toml:"listen"`
	Platform   GatewayPlatform  `toml:"platform"`
	Peers      Peers            `toml:"peers"`
	Machine    GatewayMachine   `toml:"machine"`
	Bounds     GatewayBounds    `toml:"bounds"`
	Placement  GatewayPlacement `toml:"placement"`
	// Duties lists the duties that the platform requires.
	Duties []string `toml:"duties"`
	Log    Log      `toml:"log"`
}

// GatewayListen holds the addresses that the node listens on, as IP:port.
type GatewayListen struct {
	Caller string `toml:"caller"`
	// Ready serves the readiness check.
	Ready string `toml:"ready"`
	// Directory serves the list of nodes that callers may use.
	Directory string `toml:"directory"`
	Peer      string `toml:"peer"`
	Metrics   string `toml:"metrics"`
}

// GatewayPlatform holds the addresses of the platform's store and cloud API, as
// IP:port.
type GatewayPlatform struct {
	Store string `toml:"store"`
	Cloud string `toml:"cloud"`
}

// GatewayMachine holds what the process may use of its machine.
type GatewayMachine struct {
	// Memory is the memory of the process.
	Memory Size `toml:"memory"`
	// Descriptors is the number of open files and connections of the process.
	Descriptors int `toml:"descriptors"`
}

// GatewayBounds holds the limits that the operators set for the deployment.
type GatewayBounds struct {
	// Grace is the period from SIGTERM to the end of the process.
	Grace Duration `toml:"grace"`
	// Lease is the duration for which a lease holder may act after a renewal.
	Lease Duration `toml:"lease"`
	// UsageWindow is the length of the window that a usage report covers.
	UsageWindow Duration `toml:"usage_window"`
	// RetryRatio and RetrySlack are the retry budget of a service over all nodes:
	// the ratio of retries to requests, and the number of further retries, in
	// each RetryWindow.
	RetryRatio  float64  `toml:"retry_ratio"`
	RetrySlack  float64  `toml:"retry_slack"`
	RetryWindow Duration `toml:"retry_window"`
	// QuotaWindow is the period in which a team may spend its burst and the
	// units that its rate adds.
	QuotaWindow Duration `toml:"quota_window"`
	// QuotaOver is the fraction by which a team may exceed its quota. QuotaSlack
	// is the number of tokens that it may spend beyond that if its quota is in
	// tokens.
	QuotaOver  float64 `toml:"quota_over"`
	QuotaSlack float64 `toml:"quota_slack"`
	// Evacuation is the time within which nothing more is sent to an availability zone that
	// the operator evacuates, 0 if the deployment has no evacuations.
	Evacuation Duration `toml:"evacuation"`
	// A cold upstream may get ColdOver times the requests a second that it tolerates, plus
	// ColdSlack requests, from all nodes together.
	ColdOver  float64 `toml:"cold_over"`
	ColdSlack float64 `toml:"cold_slack"`
}

// GatewayPlacement configures how requests are placed at upstreams.
type GatewayPlacement struct {
	// Learn selects the services of which it is learned how much work each upstream takes
	// well: none, those whose upstreams report how long work takes there, or all.
	Learn placement.Learning `toml:"learn"`
}

// Duties of the node that holds the lease. A settings file lists those that the
// platform requires.
const (
	// DutyUsage reports the usage of each team.
	DutyUsage = "usage"
	// DutyFleet orders upstreams of the services that are scaled.
	DutyFleet = "fleet"
)

const (
	// minMemoryBytes is the memory that a node needs for itself, and some for callers.
	minMemoryBytes = 64_000_000
	// minDescriptors is the same for its connections.
	minDescriptors = 64
)

// ParseGateway reads the settings file of a node on the users' platform and
// returns all its problems.
func ParseGateway(text string) (Gateway, []Problem) {
	c := checker{lines: keyLines(text)}
	s := c.decode(text, func() any { return gatewayDefaults() }).(*Gateway)
	c.checkGateway(s)
	return *s, c.problems
}

// DefaultMachine returns what a process uses whose settings don't describe its machine.
func DefaultMachine() GatewayMachine {
	return GatewayMachine{Memory: Size{Bytes: 512_000_000}, Descriptors: 4096}
}

func gatewayDefaults() *Gateway {
	return &Gateway{
		Machine: DefaultMachine(),
		Bounds: GatewayBounds{
			Grace:       Duration{8 * time.Second},
			Lease:       Duration{3 * time.Second},
			UsageWindow: Duration{5 * time.Second},
			RetryRatio:  0.2,
			RetryWindow: Duration{10 * time.Second},
			QuotaWindow: Duration{8 * time.Second},
			ColdOver:    1,
		},
		Placement: GatewayPlacement{Learn: placement.LearnOff},
		Log:       Log{Level: zerolog.InfoLevel.String()},
	}
}

func (c *checker) checkGateway(s *Gateway) {
	c.required("name", s.Name)
	c.required("zone", s.Zone)
	c.required("peers.token", s.Peers.Token)
	c.address("listen.caller", s.Listen.Caller)
	c.address("listen.ready", s.Listen.Ready)
	c.address("listen.directory", s.Listen.Directory)
	c.address("listen.peer", s.Listen.Peer)
	c.address("listen.metrics", s.Listen.Metrics)
	c.address("platform.store", s.Platform.Store)
	c.address("platform.cloud", s.Platform.Cloud)
	c.checkSeeds(s.Peers)
	if s.Machine.Memory.Bytes < minMemoryBytes {
		c.report("machine.memory", "must be at least %dMB", minMemoryBytes/1_000_000)
	}
	if s.Machine.Descriptors < minDescriptors {
		c.report("machine.descriptors", "must be at least %d", minDescriptors)
	}
	c.positiveDuration("bounds.grace", s.Bounds.Grace)
	c.positiveDuration("bounds.lease", s.Bounds.Lease)
	c.positiveDuration("bounds.usage_window", s.Bounds.UsageWindow)
	c.positiveDuration("bounds.retry_window", s.Bounds.RetryWindow)
	c.positiveDuration("bounds.quota_window", s.Bounds.QuotaWindow)
	if s.Bounds.Evacuation.Duration < 0 {
		c.report("bounds.evacuation", "must not be negative")
	}
	if s.Bounds.RetryRatio < 0 || s.Bounds.RetrySlack < 0 {
		c.report("bounds.retry_ratio", "must not be negative")
	}
	if !(s.Bounds.ColdOver >= 0) || !(s.Bounds.ColdSlack >= 0) {
		c.report("bounds.cold_over", "must not be negative")
	}
	for _, duty := range s.Duties {
		if duty != DutyUsage && duty != DutyFleet {
			c.report("duties", "%q is neither %q nor %q", duty, DutyUsage, DutyFleet)
		}
	}
	switch learn := s.Placement.Learn; learn {
	case placement.LearnOff, placement.LearnReported, placement.LearnOn:
	default:
		c.report("placement.learn", "%q is none of %q, %q and %q", learn, placement.LearnOff, placement.LearnReported, placement.LearnOn)
	}
	c.checkLogLevel(s.Log)
}
