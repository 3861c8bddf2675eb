package main

import (
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"
)

// node is a process of the project's gateway, started as the deploy file does.
type node struct {
	name, caller string
	cmd          *exec.Cmd
	done         chan struct{}
}

// freePort returns a port below the range from which the kernel takes those of outgoing connections.
func (r *rig) freePort() int {
	for {
		r.port++
		l, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", r.port))
		if err != nil {
			continue
		}
		_ = l.Close()
		return r.port
	}
}

func (r *rig) address() string { return fmt.Sprintf("127.0.0.1:%d", r.freePort()) }

// startNodes starts the gateways. Their settings are those that deploy/settings.toml.tmpl gives for the
// figures of the site.
func (r *rig) startNodes(count int) error {
	peers := make([]string, count)
	for i := range peers {
		peers[i] = r.address()
	}
	seeds := ""
	for i := range min(count, 3) {
		seeds += fmt.Sprintf("%q,", peers[i])
	}
	for i := range count {
		n := &node{name: fmt.Sprintf("edge-%d", i+1), caller: r.address(), done: make(chan struct{})}
		text := fmt.Sprintf(`name = %q
zone = "z-a"
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
`, n.name, n.caller, r.address(), r.address(), peers[i], r.address(), r.storeAddress, r.storeAddress, seeds)
		path := filepath.Join(r.dir, n.name+".toml")
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			return err
		}
		out, err := os.Create(filepath.Join(r.dir, n.name+".log"))
		if err != nil {
			return err
		}
		n.cmd = exec.Command(r.binary, "gateway")
		n.cmd.Env = []string{"MONSOONLANDING_CONFIG=" + path, "PATH=" + os.Getenv("PATH"), "HOME=" + r.dir}
		n.cmd.Stdout, n.cmd.Stderr = out, out
		if err := n.cmd.Start(); err != nil {
			return err
		}
		go func() {
			_ = n.cmd.Wait()
			close(n.done)
		}()
		r.nodes = append(r.nodes, n)
	}
	return nil
}

// awaitReady waits until the gateways serve. It fails if one of them has ended.
func (r *rig) awaitReady() error {
	time.Sleep(4 * time.Second)
	for _, n := range r.nodes {
		select {
		case <-n.done:
			return fmt.Errorf("%s has ended", n.name)
		default:
		}
	}
	return nil
}

// stopNodes ends the processes that this program has started.
func (r *rig) stopNodes() {
	for _, n := range r.nodes {
		_ = n.cmd.Process.Signal(syscall.SIGKILL)
	}
	for _, n := range r.nodes {
		select {
		case <-n.done:
		case <-time.After(5 * time.Second):
		}
	}
}
