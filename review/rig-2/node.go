package main

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// Ports of a node, as in the pages' example of a settings file. Each node has an address of its
// own in 127.0.0.0/8.
const (
	portFront     = 8221
	portReady     = 8224
	portControl   = 8229
	portDirectory = 8220
	portMetrics   = 9464
)

// Bounds of the sites that the settings and the cases share.
const (
	windowSeconds = 5
	graceSeconds  = 8
)

// readyTimeout bounds the time until a node is ready.
const readyTimeout = 15 * time.Second

// freeNetwork returns a network of loopback addresses whose ports are free.
func freeNetwork() (string, error) {
	for range 50 {
		prefix := fmt.Sprintf("127.%d.%d.", 20+rand.IntN(200), 1+rand.IntN(250))
		if isFree(prefix) {
			return prefix, nil
		}
	}
	return "", fmt.Errorf("no loopback addresses with free ports")
}

func isFree(prefix string) bool {
	for host := 1; host <= 8; host++ {
		for _, port := range []int{portFront, portReady, portControl, portDirectory, portMetrics} {
			l, err := net.Listen("tcp", fmt.Sprintf("%s%d:%d", prefix, host, port))
			if err != nil {
				return false
			}
			_ = l.Close()
		}
	}
	return true
}

// node is a process of the system.
type node struct {
	name string
	ip   string
	rig  *rig
	// fields are those of its settings.
	fields  fields
	starts  int
	command *exec.Cmd
	ended   chan struct{}
}

func (n *node) address(port int) string { return fmt.Sprintf("%s:%d", n.ip, port) }

// startNodes starts a number of nodes and waits until all of them are ready.
func (r *rig) startNodes(count int) error {
	var seeds []string
	for i := range min(count, 3) {
		seeds = append(seeds, fmt.Sprintf("%s%d:%d", r.prefix, i+1, portControl))
	}
	for i := range count {
		zone := fmt.Sprintf("zone-%c", 'a'+i%3)
		n := &node{name: fmt.Sprintf("edge-%s-%d", zone, i+1), ip: fmt.Sprintf("%s%d", r.prefix, i+1), rig: r}
		n.fields = fields{
			"node": n.name, "zone": zone, "ip": n.ip, "seeds": seeds,
			"listen.front": n.address(portFront), "listen.ready": n.address(portReady),
			"listen.control": n.address(portControl), "listen.directory": n.address(portDirectory),
			"platform.addr": r.store.address, "cloud.addr": r.cloud.address,
			"limits.memory_mb": 284, "limits.fds": 4100,
			"bounds.grace_s": graceSeconds, "bounds.lease_ms": 3000, "bounds.window_s": windowSeconds,
			"bounds.budget_ratio": 0.2, "bounds.budget_slack": 52, "bounds.budget_window_s": 10,
			"bounds.quota_over": 0.1, "bounds.quota_slack": 140000, "bounds.quota_window_s": 8,
		}
		r.nodes = append(r.nodes, n)
		if err := n.start(); err != nil {
			return err
		}
	}
	for _, n := range r.nodes {
		if err := n.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

var runPattern = regexp.MustCompile(`(?m)^run = "(.*)"$`)

// start starts the process with the command of the deploy file.
func (n *node) start() error {
	deploy, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return err
	}
	run := runPattern.FindSubmatch(deploy)
	if run == nil {
		return fmt.Errorf("deploy/system.toml names no command")
	}
	template, err := os.ReadFile("deploy/settings.toml.tmpl")
	if err != nil {
		return err
	}
	n.starts++
	n.fields["first_start"] = n.starts == 1
	path := filepath.Join(n.rig.temp, n.name+".conf")
	if err := os.WriteFile(path, []byte(render(string(template), n.fields)), 0o600); err != nil {
		return err
	}
	words := strings.Fields(string(run[1]))
	n.command = exec.Command(words[0], words[1:]...)
	n.command.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + n.rig.temp, "MONSOONLANDING_CONFIG=" + path}
	if n.command.Stdout, err = os.Create(filepath.Join(n.rig.temp, fmt.Sprintf("%s-%d.log", n.name, n.starts))); err != nil {
		return err
	}
	n.command.Stderr = n.command.Stdout
	if err := n.command.Start(); err != nil {
		return err
	}
	n.rig.record("node %s: started, process %d", n.name, n.command.Process.Pid)
	ended := make(chan struct{})
	n.ended = ended
	go func(c *exec.Cmd) {
		err := c.Wait()
		n.rig.record("node %s: process %d ended: %v", n.name, c.Process.Pid, err)
		close(ended)
	}(n.command)
	return nil
}

// signal sends a signal to the process.
func (n *node) signal(s syscall.Signal) {
	n.rig.record("node %s: %v", n.name, s)
	_ = n.command.Process.Signal(s)
}

// end kills the process, if it runs, and waits for its end.
func (n *node) end() {
	if n.command != nil {
		_ = n.command.Process.Kill()
		<-n.ended
	}
}

func (n *node) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for begin := time.Now(); time.Since(begin) < readyTimeout; time.Sleep(50 * time.Millisecond) {
		resp, err := client.Get("http://" + n.address(portReady) + "/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	log, _ := os.ReadFile(filepath.Join(n.rig.temp, fmt.Sprintf("%s-%d.log", n.name, n.starts)))
	lines := bytes.Split(bytes.TrimSpace(log), []byte("\n"))
	return fmt.Errorf("%s is not ready: %s", n.name, bytes.Join(lines[max(len(lines)-3, 0):], []byte(" | ")))
}
