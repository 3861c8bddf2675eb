// Package cloud is a small stand-in for the cloud API, with a list of upstream
// VMs that lags behind, and reclaim notices.
//
// # Usage
//
//	c := cloud.New(token, 500*time.Millisecond)
//	c.Add(cloudhttp.VM{...})
//	c.AnnounceReclaim("entry-1", time.Now().Add(5*time.Second))
package cloud

import (
	"encoding/json"
	"net/http"
	"sort"
	"strings"
	"sync"
	"time"

	"monsoonlanding/internal/wire/cloudhttp"
)

// Cloud is the stand-in. It is safe for concurrent use.
type Cloud struct {
	token string
	// lag is the longest time for which the list shows the same snapshot.
	lag time.Duration

	mu         sync.Mutex
	vms        map[string]cloudhttp.VM
	notices    map[string]time.Time
	snapshot   []cloudhttp.VM
	snapshotAt time.Time
}

// New returns an empty cloud that expects the given bearer token and whose list
// lags by at most the given time.
func New(token string, lag time.Duration) *Cloud {
	return &Cloud{token: token, lag: lag, vms: make(map[string]cloudhttp.VM), notices: make(map[string]time.Time)}
}

// Add adds a VM to the list or replaces its entry.
func (c *Cloud) Add(vm cloudhttp.VM) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.vms[vm.ID] = vm
}

// Remove removes a VM from the list.
func (c *Cloud) Remove(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.vms, id)
}

// AnnounceReclaim publishes the notice that a VM is reclaimed at the given time.
func (c *Cloud) AnnounceReclaim(id string, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.notices[id] = until
	if vm, ok := c.vms[id]; ok {
		vm.Leaving, vm.Until = true, until
		c.vms[id] = vm
	}
}

// ServeHTTP serves the cloud API. PUT on the list's path adds the VM in the
// body; PUT on a notice's path announces a reclaim.
func (c *Cloud) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Header.Get("Authorization") != "Bearer "+c.token {
		http.Error(w, "wrong token", http.StatusUnauthorized)
		return
	}
	name, isNotice := strings.CutPrefix(r.URL.Path, cloudhttp.NoticePath)
	switch {
	case r.URL.Path == cloudhttp.VMsPath && r.Method == http.MethodPut:
		c.putVM(w, r)
	case r.URL.Path == cloudhttp.VMsPath:
		writeJSON(w, c.list())
	case isNotice && r.Method == http.MethodPut:
		c.putNotice(w, r, name)
	case isNotice:
		c.notice(w, r, name)
	default:
		http.NotFound(w, r)
	}
}

func (c *Cloud) putVM(w http.ResponseWriter, r *http.Request) {
	var vm cloudhttp.VM
	if err := json.NewDecoder(r.Body).Decode(&vm); err != nil || vm.ID == "" {
		http.Error(w, "the body must be a VM", http.StatusBadRequest)
		return
	}
	c.Add(vm)
}

func (c *Cloud) putNotice(w http.ResponseWriter, r *http.Request, name string) {
	var n cloudhttp.Notice
	if err := json.NewDecoder(r.Body).Decode(&n); err != nil {
		http.Error(w, "the body must be a notice", http.StatusBadRequest)
		return
	}
	c.AnnounceReclaim(name, n.Until)
}

func (c *Cloud) notice(w http.ResponseWriter, r *http.Request, name string) {
	c.mu.Lock()
	until, ok := c.notices[name]
	c.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	writeJSON(w, cloudhttp.Notice{Until: until})
}

// list returns the VMs as of a snapshot that is younger than the lag.
func (c *Cloud) list() []cloudhttp.VM {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.snapshot != nil && time.Since(c.snapshotAt) < c.lag {
		return c.snapshot
	}
	c.snapshot = []cloudhttp.VM{}
	for _, vm := range c.vms {
		c.snapshot = append(c.snapshot, vm)
	}
	sort.Slice(c.snapshot, func(i, j int) bool { return c.snapshot[i].ID < c.snapshot[j].ID })
	c.snapshotAt = time.Now()
	return c.snapshot
}

func writeJSON(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(v)
}
