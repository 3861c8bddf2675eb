package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// node is a process of the project, started as the deploy file says.
type node struct {
	name     string
	zone     string
	front    string
	ready    string
	dir      string
	control  string
	metrics  string
	settings string
	log      *os.File
	mu       sync.Mutex
	cmd      *exec.Cmd
	done     chan struct{}
}

// freeAddress returns a loopback address with a port that is free now.
func freeAddress() string {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal("no free port: %v", err)
	}
	defer l.Close()
	return l.Addr().String()
}

func newNode(name, zone string) *node {
	return &node{
		name: name, zone: zone, front: freeAddress(), ready: freeAddress(), dir: freeAddress(),
		control: freeAddress(), metrics: freeAddress(),
	}
}

// settingsText is deploy/settings.toml.tmpl, filled in with the bounds of the site creq-registre.
func (n *node) settingsText(store, cloud string, seeds []string, firstStart bool) string {
	quoted := make([]string, len(seeds))
	for i, s := range seeds {
		quoted[i] = fmt.Sprintf("%q", s)
	}
	return fmt.Sprintf(`name = %q
zone = %q
first_start = %t
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
`, n.name, n.zone, firstStart, n.front, n.ready, n.dir, n.control, n.metrics, store, cloud, strings.Join(quoted, ","))
}

// start starts the process with the command of the deploy file, in the root of the repository.
func (n *node) start(root string) {
	cmd := exec.Command("target/monsoonlanding", "gateway")
	cmd.Dir = root
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME"), "MONSOONLANDING_CONFIG=" + n.settings}
	cmd.Stdout, cmd.Stderr = n.log, n.log
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		fatal("start %s: %v", n.name, err)
	}
	done := make(chan struct{})
	n.mu.Lock()
	n.cmd, n.done = cmd, done
	n.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
}

func (n *node) signal(s syscall.Signal) { _ = n.cmd.Process.Signal(s) }

// isReady asks the node's readiness address.
func (n *node) isReady() bool {
	client := http.Client{Timeout: time.Second}
	resp, err := client.Get("http://" + n.ready + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == 200
}

// system is the platform's stand-in with the nodes.
type system struct {
	root   string
	dir    string
	store  *platform
	addr   string
	nodes  []*node
	config map[string]any
}

// startSystem starts the platform's stand-in and the nodes, and waits until they are ready. The
// configuration and the replicas are listed before.
func startSystem(count int, config map[string]any, replicas []*replica) *system {
	root, err := filepath.Abs(*rootFlag)
	if err != nil {
		fatal("root: %v", err)
	}
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		fatal("temporary folder: %v", err)
	}
	s := &system{root: root, dir: dir, store: newPlatform(), config: config}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		fatal("listen: %v", err)
	}
	s.addr = l.Addr().String()
	go func() { _ = http.Serve(l, s.store) }()
	s.store.write("config", "main", config)
	for _, r := range replicas {
		r.register(s.store)
	}
	var seeds []string
	for i := range count {
		n := newNode(fmt.Sprintf("edge-%c-1", 'a'+i), fmt.Sprintf("zone-%c", 'a'+i))
		s.nodes = append(s.nodes, n)
		if len(seeds) < 3 {
			seeds = append(seeds, n.control)
		}
	}
	cleanup = s.end
	for _, n := range s.nodes {
		n.settings = filepath.Join(dir, n.name+".toml")
		if err := os.WriteFile(n.settings, []byte(n.settingsText(s.addr, s.addr, seeds, true)), 0o600); err != nil {
			fatal("settings: %v", err)
		}
		if n.log, err = os.Create(filepath.Join(dir, n.name+".log")); err != nil {
			fatal("log: %v", err)
		}
		n.start(root)
	}
	for limit := time.Now().Add(20 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		ready := 0
		for _, n := range s.nodes {
			if n.isReady() {
				ready++
			}
		}
		if ready == count {
			break
		}
		if time.Now().After(limit) {
			fatal("nodes are not ready within 20 s")
		}
	}
	time.Sleep(2 * time.Second)
	return s
}

// end ends all processes that were started.
func (s *system) end() {
	for _, n := range s.nodes {
		if n.cmd != nil {
			_ = n.cmd.Process.Signal(syscall.SIGCONT)
			_ = n.cmd.Process.Kill()
			<-n.done
		}
	}
	if *keepFlag {
		fmt.Println("logs in", s.dir)
		return
	}
	_ = os.RemoveAll(s.dir)
}
