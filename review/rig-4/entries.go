package main

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"time"
)

// An entry of the kind servers may come from another writer. The cases here let another writer
// replace the entry of a replica by one of which fields are missing. The page says that such an
// entry names no replica to use.

const (
	seatsPath, manifestsPath = "/seats/", "/manifests/"
	seats, manifests         = "seat-service", "manifest-service"
	// drainTime is bounds.drain_ms.
	drainTime = 2 * time.Second
	// requestDeadline is the time that clients wait.
	requestDeadline = 1500 * time.Millisecond
)

// configure writes a configuration with an unsafe and a safe route, each to a service of its own.
func configure(d *deployment) {
	route := func(name, prefix, kind, service string, attempts int) map[string]any {
		return map[string]any{
			"name": name, "hostname": host, "path_prefix": prefix, "type": kind, "timeout_ms": 1500, "goal_ms": 150,
			"priority": 1, "service": service, "attempts": attempts, "public": true, "sticky": false, "can_resume": false, "gap_aim_ms": 0,
		}
	}
	service := func(name string) map[string]any {
		return map[string]any{"name": name, "health_path": "/healthz", "max_conns": 100}
	}
	d.store.put("config", "main", map[string]any{
		"version": 3,
		"routes": []any{
			route("r-seats", seatsPath, "unsafe", seats, 1),
			route("r-manifests", manifestsPath, "safe", manifests, 2),
		},
		"services": []any{service(seats), service(manifests)},
		"limits":   map[string]any{"max_header_bytes": 16384, "max_body_bytes": 4194304, "header_timeout_ms": 5000, "idle_timeout_ms": 30000},
	})
}

// incompleteEntry is what the other writer writes: an entry without version, slots, cold_left_ms,
// seq and born.
func incompleteEntry(service, address string) map[string]any {
	return map[string]any{"service": service, "addr": address, "zone": "zone-a", "state": "ready"}
}

// otherService: another writer replaces the entry of a replica of the manifest service by an
// incomplete one that bears the name of the seat service.
func otherService(d *deployment) ([]string, error) {
	configure(d)
	const work = 30 * time.Millisecond
	for _, id := range []string{"i-seat-1", "i-seat-2"} {
		startReplica(d, id, seats, work)
	}
	startReplica(d, "i-manifest-1", manifests, work)
	other := startReplica(d, "i-manifest-2", manifests, work)
	if err := d.startNodes(3); err != nil {
		return nil, err
	}
	c := newClients(d)
	ctx, cancel := context.WithTimeout(context.Background(), 14*time.Second)
	defer cancel()
	c.send(ctx, http.MethodPost, seatsPath, 40*time.Millisecond, requestDeadline)
	c.send(ctx, http.MethodGet, manifestsPath, 80*time.Millisecond, requestDeadline)
	time.Sleep(6 * time.Second)
	if d.trouble {
		entry := incompleteEntry(seats, other.address)
		d.rec.printf("another writer replaces the entry %s by %v", other.id, entry)
		d.store.put("servers", other.id, entry)
	}
	attempts := c.wait()
	var broken []string
	for _, r := range d.runs.all() {
		if strings.HasPrefix(r.path, seatsPath) && r.service != seats {
			broken = append(broken, fmt.Sprintf("ROUTE: request %s %s was run at %.3f by %s of service %s, its client got %d %q",
				r.id, r.path, d.rec.seconds(r.at), r.replica, r.service, attempts[r.id].status, attempts[r.id].body))
		}
	}
	return broken, nil
}

// readyAgain: a replica reports that it is draining and serves on for some seconds. Another writer
// replaces its entry by an incomplete one with the state ready.
func readyAgain(d *deployment) ([]string, error) {
	configure(d)
	const work = 400 * time.Millisecond
	for _, id := range []string{"i-seat-1", "i-seat-2"} {
		startReplica(d, id, seats, work)
	}
	leaving := startReplica(d, "i-seat-3", seats, work)
	startReplica(d, "i-manifest-1", manifests, work)
	if err := d.startNodes(3); err != nil {
		return nil, err
	}
	c := newClients(d)
	ctx, cancel := context.WithTimeout(context.Background(), 14*time.Second)
	defer cancel()
	c.send(ctx, http.MethodPost, seatsPath, 50*time.Millisecond, requestDeadline)
	time.Sleep(5 * time.Second)
	acknowledged := leaving.drain()
	d.rec.printf("replica   %s is draining, acknowledged at %.3f", leaving.id, d.rec.seconds(acknowledged))
	time.Sleep(drainTime + 500*time.Millisecond)
	if d.trouble {
		entry := incompleteEntry(seats, leaving.address)
		d.rec.printf("another writer replaces the entry %s by %v", leaving.id, entry)
		d.store.put("servers", leaving.id, entry)
	}
	time.Sleep(700 * time.Millisecond)
	d.rec.printf("replica   %s ends", leaving.id)
	leaving.end()
	attempts := c.wait()
	var broken []string
	for _, r := range d.runs.all() {
		s, known := attempts[r.id]
		if r.replica != leaving.id || !known || !s.at.After(acknowledged.Add(drainTime)) {
			continue
		}
		broken = append(broken, fmt.Sprintf("DRAIN: request %s, sent %.3f s after the acknowledgement that %s is draining, reached it at %.3f, its client got %d",
			r.id, s.at.Sub(acknowledged).Seconds(), r.replica, d.rec.seconds(r.at), s.status))
	}
	return broken, nil
}
