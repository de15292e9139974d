package relay

import (
	"cmp"
	"slices"
	"time"
)

// indexed returns a state whose lookup tables are rebuilt from its entries.
func (s State) indexed() State {
	s.servers, s.byID = make(map[ServiceName][]Server), make(map[ServerID]*Server, len(s.byID))
	s.rollOuts, s.members = make(map[ServiceName]RollOutState), nil
	s.duties, s.evacuations = make(map[ServiceName]Duty), nil
	for _, c := range s.entries {
		switch e := c.Entry; {
		case e.Config != nil:
			s = s.withConfig(*e.Config, c.Revision)
		case e.Server != nil:
			s.byID[e.Server.ID] = e.Server
			s.servers[e.Server.Service] = append(s.servers[e.Server.Service], *e.Server)
		case e.RollOut != nil:
			rollOut := s.rollOuts[e.RollOut.Service]
			rollOut.Order = *e.RollOut
			rollOut.Order.Revision = c.Revision
			s.rollOuts[e.RollOut.Service] = rollOut
		case e.Progress != nil:
			rollOut := s.rollOuts[e.Progress.Service]
			rollOut.Progress, rollOut.ProgressRevision = *e.Progress, c.Revision
			s.rollOuts[e.Progress.Service] = rollOut
		case e.Duty != nil:
			s.duties[e.Duty.Service] = *e.Duty
		case e.Evacuation != nil:
			evacuation := *e.Evacuation
			evacuation.Revision = c.Revision
			s.evacuations = append(s.evacuations, evacuation)
		case e.Member != nil:
			s.members = append(s.members, *e.Member)
		}
	}
	for _, list := range s.servers {
		slices.SortFunc(list, func(a, b Server) int { return cmp.Compare(a.ID, b.ID) })
	}
	sortEvacuations(s.evacuations)
	slices.SortFunc(s.members, func(a, b Member) int { return cmp.Compare(a.Name, b.Name) })
	return s
}

// withOrderTimes sets when each order was given: as before if it was known, at the time if it was
// observed being given, and estimated otherwise.
func (s State) withOrderTimes(previous map[ServiceName]RollOutState, observed bool, at time.Time) State {
	for name, rollOut := range s.rollOuts {
		known, ok := previous[name]
		switch {
		case ok && known.Order.Revision == rollOut.Order.Revision:
			s.rollOuts[name] = rollOut.withOrderTime(known.OrderedAt, known.AgeKnown)
		case observed:
			s.rollOuts[name] = rollOut.withOrderTime(at, true)
		default:
			s.rollOuts[name] = rollOut.withOrderTime(rollOut.estimatedOrderTime(s.servers[name], at), false)
		}
	}
	return s
}

// withConfig returns a state with the configuration in force, unless a newer one is.
func (s State) withConfig(config Config, revision int64) State {
	if revision <= s.ConfigRevision {
		return s
	}
	s.Config, s.ConfigRevision = config, revision
	s.hosts = make(map[string][]Route)
	s.services = make(map[ServiceName]Service, len(config.Services))
	s.keys = make(map[string]Account)
	for _, r := range config.Routes {
		s.hosts[r.Host] = append(s.hosts[r.Host], r)
	}
	for _, list := range s.hosts {
		slices.SortFunc(list, func(a, b Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
	for _, v := range config.Services {
		s.services[v.Name] = v
	}
	for _, a := range config.Accounts {
		for _, key := range a.Keys {
			s.keys[key] = a
		}
	}
	return s
}
