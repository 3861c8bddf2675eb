// Package cluster starts stand-ins and nodes in one process on loopback, for
// the demo, for measurements and for end-to-end tests.
//
// # Usage
//
//	c, err := cluster.Start(cluster.Config{
//		Nodes: 6, Zones: zones, Teams: []string{"crew"}, Engines: 2, Services: 2,
//		Engine: engine.Config{Slots: 16}, Service: service.Config{Slots: 32}, Log: log,
//	})
//	defer c.Close()
//	client := callerhttp.NewClient(c.CallerAddresses(), cluster.TeamKey("crew"), http.DefaultClient, clock.System{})
package cluster

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/rs/zerolog"
	"github.com/sourcegraph/conc"

	core "monsoonlanding/internal/core/node"
	"monsoonlanding/internal/core/upstream"
	"monsoonlanding/internal/run/clock"
	"monsoonlanding/internal/run/node"
	"monsoonlanding/internal/run/settings"
	"monsoonlanding/internal/standin/cloud"
	"monsoonlanding/internal/standin/engine"
	"monsoonlanding/internal/standin/platform"
	"monsoonlanding/internal/standin/service"
	"monsoonlanding/internal/wire/cloudhttp"
	"monsoonlanding/internal/wire/operatorhttp"
)

const (
	// token is the bearer token of the peers, the operators and the stand-ins.
	token = "local-token"
	// vmListLag is the delay until the stand-in's list of VMs shows a change.
	vmListLag = 300 * time.Millisecond
	// startTimeout bounds the wait until all nodes are ready.
	startTimeout      = 10 * time.Second
	readyPollInterval = 20 * time.Millisecond
)

// Config describes a cluster: its size, its stand-ins and its nodes.
type Config struct {
	Nodes int
	Zones []string
	Teams []string
	// Engines and Services are the numbers of upstreams of each engine service
	// and of each plain service.
	Engines  int
	Services int
	Engine   engine.Config
	Service  service.Config
	// AlonePolicy is the policy of nodes that have no usable backup; empty means the
	// default, refuse.
	AlonePolicy core.AlonePolicy
	// PeerDelay is added to each message between nodes.
	PeerDelay time.Duration
	Log       zerolog.Logger
}

// Engine is a stand-in engine of the cluster with its HTTP server.
type Engine struct {
	ID      string
	Address string
	Engine  *engine.Engine
	server  *http.Server
}

// Close stops the engine immediately and closes its connections.
func (e *Engine) Close() { _ = e.server.Close() }

// Cluster is a running system with its stand-ins.
type Cluster struct {
	cfg            Config
	platform       *platform.Platform
	cloud          *cloud.Cloud
	runs           *service.Runs
	engines        []*Engine
	nodes          []*node.Runner
	servers        []*http.Server
	group          conc.WaitGroup
	objectsAddress string
	cloudAddress   string
}

// TeamKey returns the bearer key of a team of the cluster.
func TeamKey(team string) string { return "key-of-" + team }

// Rules returns the text of the rules for the given teams. Each rule ends with
// a comment that names the requester.
func Rules(teams []string, requester string) string {
	var b strings.Builder
	line := func(format string, args ...any) {
		fmt.Fprintf(&b, format+"  # asked by %s\n", append(args, requester)...)
	}
	line(`service.plans = { kind = "engine", first_token = "720ms", between_tokens = "44ms" }`)
	line(`service.questions = { kind = "engine", first_token = "720ms", between_tokens = "44ms" }`)
	line(`service.bookings = { kind = "plain" }`)
	line(`service.tags = { kind = "plain" }`)
	for _, team := range teams {
		sum := sha256.Sum256([]byte(TeamKey(team)))
		line(`team.%s = { key_sha256 = %q, weight = 1.0 }`, team, hex.EncodeToString(sum[:]))
	}
	return b.String()
}

// Start starts the stand-ins and the nodes, applies the initial rules and waits
// until all nodes have them in force and know each other and an upstream. It
// fails without upstreams.
func Start(cfg Config) (*Cluster, error) {
	c := &Cluster{cfg: cfg, platform: platform.New(token), cloud: cloud.New(token, vmListLag), runs: service.NewRuns()}
	if err := c.startStandins(); err != nil {
		c.Close()
		return nil, err
	}
	for i := range cfg.Nodes {
		if err := c.startNode(i); err != nil {
			c.Close()
			return nil, err
		}
	}
	if err := c.applyInitialRules(); err != nil {
		c.Close()
		return nil, err
	}
	return c, nil
}

func (c *Cluster) startStandins() error {
	var err error
	if c.objectsAddress, _, err = c.serve(c.platform); err != nil {
		return err
	}
	if c.cloudAddress, _, err = c.serve(c.cloud); err != nil {
		return err
	}
	for _, name := range []string{"plans", "questions"} {
		for i := range c.cfg.Engines {
			if err := c.startEngine(name, i); err != nil {
				return err
			}
		}
	}
	for _, name := range []string{"bookings", "tags"} {
		for i := range c.cfg.Services {
			if err := c.startService(name, i); err != nil {
				return err
			}
		}
	}
	return nil
}

// serve starts an HTTP server on a free loopback port.
func (c *Cluster) serve(h http.Handler) (address string, s *http.Server, err error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, errors.Wrap(err, "stand-in")
	}
	s = &http.Server{Handler: h, ReadHeaderTimeout: time.Second}
	c.servers = append(c.servers, s)
	c.group.Go(func() { _ = s.Serve(l) })
	return l.Addr().String(), s, nil
}

func (c *Cluster) zone(i int) string { return c.cfg.Zones[i%len(c.cfg.Zones)] }

func (c *Cluster) startEngine(name string, i int) error {
	e := engine.New(c.cfg.Engine)
	address, server, err := c.serve(e)
	if err != nil {
		return err
	}
	id := fmt.Sprintf("%s-engine-%d", name, i)
	c.engines = append(c.engines, &Engine{ID: id, Address: address, Engine: e, server: server})
	c.cloud.Add(cloudhttp.VM{ID: id, Address: address, Zone: c.zone(i), Service: name, Version: "v1", Kind: upstream.Engine, Slots: c.cfg.Engine.Slots})
	return nil
}

func (c *Cluster) startService(name string, i int) error {
	cfg := c.cfg.Service
	if name == "bookings" {
		cfg.Runs = c.runs
	}
	address, _, err := c.serve(service.New(cfg))
	if err != nil {
		return err
	}
	c.cloud.Add(cloudhttp.VM{
		ID: fmt.Sprintf("%s-service-%d", name, i), Address: address, Zone: c.zone(i),
		Service: name, Version: "v1", Kind: upstream.Plain, Slots: cfg.Slots,
	})
	return nil
}

func (c *Cluster) startNode(i int) error {
	// Parse returns the defaults; the problems are required settings that are
	// missing, which are set below.
	s, _ := settings.Parse("")
	s.Name = fmt.Sprintf("entry-%d", i)
	s.Zone = c.zone(i)
	s.Listen = settings.Listen{Caller: "127.0.0.1:0", Peer: "127.0.0.1:0", Operator: "127.0.0.1:0"}
	s.Platform = settings.Platform{Objects: "http://" + c.objectsAddress, Cloud: "http://" + c.cloudAddress, Token: token}
	s.Peers.Token = token
	if c.cfg.AlonePolicy != "" {
		s.Alone = c.cfg.AlonePolicy
	}
	s.Operator.Token = token
	r, err := node.New(node.Config{Settings: s, Clock: clock.System{}, Log: c.cfg.Log, PeerDelay: c.cfg.PeerDelay})
	if err != nil {
		return err
	}
	c.nodes = append(c.nodes, r)
	c.group.Go(func() { _ = r.Run(context.Background()) })
	return nil
}

// applyInitialRules applies the initial rules and waits until all nodes are
// ready.
func (c *Cluster) applyInitialRules() error {
	ctx, cancel := context.WithTimeout(context.Background(), startTimeout)
	defer cancel()
	a, err := c.Operator(0).Apply(ctx, 0, Rules(c.cfg.Teams, "the local start, L-1"), "first", "local")
	if err != nil {
		return errors.Wrap(err, "apply initial rules")
	}
	if a.Revision == 0 {
		return errors.Errorf("apply initial rules: outcome %s, problems %v", a.Outcome, a.Problems)
	}
	for i := range c.nodes {
		if err := c.waitReady(ctx, i, a.Revision); err != nil {
			return err
		}
	}
	return nil
}

// waitReady waits until node i has the revision in force and knows all nodes and
// at least one upstream.
func (c *Cluster) waitReady(ctx context.Context, i int, revision uint64) error {
	for {
		s, err := c.Operator(i).Status(ctx)
		if err == nil && s.RulesRevision >= revision && len(s.Members) >= len(c.nodes) && len(s.Upstreams) > 0 {
			return nil
		}
		if !(clock.System{}).Sleep(ctx, readyPollInterval) {
			return errors.Errorf("node %d is not ready: rules revision %d, %d members, %d upstreams", i, s.RulesRevision, len(s.Members), len(s.Upstreams))
		}
	}
}

// Operator returns an operator client for the i-th node.
func (c *Cluster) Operator(i int) *operatorhttp.Client {
	_, _, address := c.nodes[i].Addresses()
	return operatorhttp.NewClient(address, token, http.DefaultClient)
}

// CallerAddresses returns the caller addresses of all nodes.
func (c *Cluster) CallerAddresses() []string {
	var list []string
	for _, n := range c.nodes {
		callers, _, _ := n.Addresses()
		list = append(list, callers)
	}
	return list
}

// Node returns the i-th node.
func (c *Cluster) Node(i int) *node.Runner { return c.nodes[i] }

// Platform returns the stand-in for the object API.
func (c *Cluster) Platform() *platform.Platform { return c.platform }

// Cloud returns the stand-in for the cloud API.
func (c *Cluster) Cloud() *cloud.Cloud { return c.cloud }

// Engine returns the i-th engine in the order of their start.
func (c *Cluster) Engine(i int) *Engine { return c.engines[i] }

// Runs returns the number of runs of each booking.
func (c *Cluster) Runs() *service.Runs { return c.runs }

// Close kills the nodes and stops the stand-ins.
func (c *Cluster) Close() {
	for _, n := range c.nodes {
		n.Kill()
	}
	for _, s := range c.servers {
		_ = s.Close()
	}
	c.group.Wait()
}
