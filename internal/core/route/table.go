package route

import (
	"sort"
	"strings"
)

// Table looks up routes, services and teams of one configuration. Its zero
// value is an empty table.
type Table struct {
	config   Config
	hosts    map[string][]*Route
	services map[string]*Service
	keys     map[string]*Team
}

// New returns the table of a configuration, which must not be modified
// afterwards.
func New(config Config) *Table {
	t := &Table{
		config:   config,
		hosts:    make(map[string][]*Route),
		services: make(map[string]*Service, len(config.Services)),
		keys:     make(map[string]*Team),
	}
	for i := range t.config.Routes {
		r := &t.config.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for _, routes := range t.hosts {
		sort.SliceStable(routes, func(i, j int) bool {
			return len(routes[i].PathPrefix) > len(routes[j].PathPrefix)
		})
	}
	for i := range t.config.Services {
		t.services[t.config.Services[i].Name] = &t.config.Services[i]
	}
	t.indexKeys()
	return t
}

func (t *Table) indexKeys() {
	for i := range t.config.Teams {
		team := &t.config.Teams[i]
		for _, key := range team.Keys {
			t.keys[key] = team
		}
	}
}

// Version returns the configuration's version, 0 if there is none.
func (t *Table) Version() int64 { return t.config.Version }

// Limits returns the limits on requests.
func (t *Table) Limits() Limits { return t.config.Limits }

// Teams returns all teams.
func (t *Table) Teams() []Team { return t.config.Teams }

// Services returns all services.
func (t *Table) Services() []Service { return t.config.Services }

// RequiresKeys reports whether requests to routes that are not public need an API
// key.
func (t *Table) RequiresKeys() bool { return len(t.config.Teams) > 0 }

// Match returns the route for a host, with or without a port, and a path.
func (t *Table) Match(host, path string) (*Route, bool) {
	if i := strings.LastIndexByte(host, ':'); i >= 0 {
		host = host[:i]
	}
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) {
			return r, true
		}
	}
	return nil, false
}

// Service returns a service by name.
func (t *Table) Service(name string) (*Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Team returns the team of an API key.
func (t *Table) Team(key string) (*Team, bool) {
	team, ok := t.keys[key]
	return team, ok
}
