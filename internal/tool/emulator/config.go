package emulator

import (
	"fmt"

	"monsoonlanding/internal/core/route"
)

func (s *simulation) config() route.Config {
	c := route.Config{
		Version: 1,
		Services: []route.Service{
			{Name: plainService},
			{Name: modelService, Engine: &route.Engine{Slots: engineSlots, MemoryTokens: engineMemoryTokens}},
		},
	}
	for _, k := range s.pattern.Kinds {
		c.Routes = append(c.Routes, newRoute(k))
	}
	for i := range teamCount {
		name := fmt.Sprint("team-", i)
		c.Teams = append(c.Teams, route.Team{Name: name, Keys: []string{name}, Unit: route.UnitTokens, DefaultTokens: 200, Rate: s.setup.Quota, Burst: s.setup.Quota})
	}
	return c
}

func newRoute(k Kind) route.Route {
	r := route.Route{
		Name: k.Route, Host: "h", PathPrefix: "/" + k.Route + "/", Kind: route.KindStreaming,
		Timeout: callerTimeout, LatencyGoal: k.LatencyGoal, Attempts: 1, Priority: 1, Targets: []route.Target{{Service: modelService}},
	}
	switch {
	case k.SharedTokens == 0:
		r.Kind, r.Targets = route.KindUnsafe, []route.Target{{Service: plainService}}
	case k.Route == "ask":
		r.Resumable, r.Attempts, r.Priority = true, 2, 0
	case k.Route == "check":
		r.Priority = 2
	}
	return r
}
