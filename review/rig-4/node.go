package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

const (
	// readyTimeout bounds the start of a node.
	readyTimeout = 20 * time.Second
	// unreadyPoll is the interval between two questions whether a node is ready.
	unreadyPoll = 50 * time.Millisecond
)

// node is a process of the project's own program.
type node struct {
	name   string
	caller string
	ready  string
	cmd    *exec.Cmd
	ended  chan struct{}
}

// freeAddresses returns loopback addresses with free ports.
func freeAddresses(n int) ([]string, error) {
	var list []string
	for range n {
		l, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, errors.Wrap(err, "find a free port")
		}
		defer func() { _ = l.Close() }()
		list = append(list, l.Addr().String())
	}
	return list, nil
}

// addressesPerNode is the number of addresses that a node listens on.
const addressesPerNode = 5

// startNodes starts nodes that know each other's peer addresses, and waits until they are ready.
func (d *deployment) startNodes(count int) error {
	addresses, err := freeAddresses(count * addressesPerNode)
	if err != nil {
		return err
	}
	var seeds []string
	for i := range count {
		seeds = append(seeds, fmt.Sprintf("%q", addresses[i*addressesPerNode+3]))
	}
	for i := range count {
		n, err := d.startNode(fmt.Sprintf("edge-zone-a-%d", i+1), addresses[i*addressesPerNode:], seeds)
		if err != nil {
			return err
		}
		d.nodes = append(d.nodes, n)
	}
	for _, n := range d.nodes {
		if err := n.awaitReady(); err != nil {
			return err
		}
	}
	return nil
}

func (d *deployment) startNode(name string, a, seeds []string) (*node, error) {
	settings := fmt.Sprintf(`name = %q
zone = "zone-a"
first_start = true
duties = ["usage", "fleet"]

[listen]
caller = %q
ready = %q
directory = %q
peer = %q
metrics = %q

[platform]
store = %q
cloud = %q

[peers]
token = "monsoonlanding"
seeds = [%s]

[machine]
memory = "284MB"
descriptors = 4100

[bounds]
grace = "8s"
lease = "3000ms"
usage_window = "5s"
retry_ratio = 0.2
retry_slack = 52
retry_window = "10s"
quota_over = 0.1
quota_slack = 140000
quota_window = "8s"

[placement]
learn = "off"
`, name, a[0], a[1], a[2], a[3], a[4], d.storeAddress, d.cloudAddress, strings.Join(seeds, ", "))
	path := filepath.Join(d.folder, name+".toml")
	if err := os.WriteFile(path, []byte(settings), 0o600); err != nil {
		return nil, errors.Wrap(err, "write settings")
	}
	log, err := os.Create(filepath.Join(d.folder, name+".log"))
	if err != nil {
		return nil, errors.Wrap(err, "create log")
	}
	cmd := exec.Command(d.program, "gateway")
	cmd.Env = append(os.Environ(), "MONSOONLANDING_CONFIG="+path)
	cmd.Stdout, cmd.Stderr = log, log
	if err := cmd.Start(); err != nil {
		return nil, errors.Wrap(err, "start node")
	}
	n := &node{name: name, caller: a[0], ready: a[1], cmd: cmd, ended: make(chan struct{})}
	go func() {
		_ = cmd.Wait()
		_ = log.Close()
		close(n.ended)
	}()
	d.rec.printf("node      %s started, callers at %s", name, n.caller)
	return n, nil
}

func (n *node) awaitReady() error {
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); time.Sleep(unreadyPoll) {
		resp, err := http.Get("http://" + n.ready + "/readyz")
		if err != nil {
			continue
		}
		_ = resp.Body.Close()
		if resp.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.Errorf("%s is not ready after %s", n.name, readyTimeout)
}

// kill ends the process at once.
func (n *node) kill() {
	_ = n.cmd.Process.Signal(syscall.SIGKILL)
	<-n.ended
}
