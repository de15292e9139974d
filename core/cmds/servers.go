package cmds

import (
	"time"

	"endivehitch/core/state"
	"endivehitch/core/value"
)

// SyncServers replaces the known backend servers by the complete list.
type SyncServers struct {
	Servers []value.BackendServer
}

// Apply adds, changes and removes servers. A server in an unchanged state keeps its Since. One that was leaving counts as leaving
// until the list has shown it as live for rejoinTime.
func (c SyncServers) Apply(s state.State, now time.Time) (state.State, []state.Effect) {
	s, servers := withDepartures(s, c.Servers, now)
	listed := make(map[value.ServerID]bool, len(servers))
	changed := make([]value.BackendServer, 0, len(servers))
	var effects []state.Effect
	known := 0
	for _, b := range servers {
		old, ok := s.Server(b.ID)
		if ok && !listed[b.ID] {
			known++
		}
		listed[b.ID] = true
		if ok && old.State == b.State {
			changed = append(changed, b.WithState(b.State, old.Since))
			continue
		}
		changed = append(changed, b.WithState(b.State, now))
		effects = append(effects, state.RecordDecision{Event: "Server" + string(b.State), Subject: string(b.ID)})
	}
	var removed []value.ServerID
	if known == s.Servers().Len() {
		// Every known server is listed, so there are none to remove.
		return s.WithServers(changed, nil), effects
	}
	for _, id := range s.Servers().Keys() {
		if listed[id] {
			continue
		}
		removed = append(removed, id)
		effects = append(effects, state.RecordDecision{Event: "ServerGone", Subject: string(id)})
	}
	return s.WithServers(changed, removed), effects
}
