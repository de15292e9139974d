package query

import (
	"time"

	"endivehitch/core/state"
	"endivehitch/core/value"
)

// MemberStatus is how one instance stands to the newest configuration that the asked one knows.
type MemberStatus struct {
	Instance value.Instance
	// Behind counts the newer configurations that the asked instance has seen since; it is bounded.
	Behind int
	// Lag is how long the instance has lacked the first of them; zero where it has the newest.
	Lag time.Duration
}

// Status is an instance's view of the fleet.
type Status struct {
	Self     value.InstanceID
	Digest   string
	Revision int64
	Fleet    []MemberStatus
	RollOuts []value.Progress
}

// Report returns which instance has which configuration, and for how long it has lagged.
func Report(s state.State, now time.Time) Status {
	status := Status{Self: s.Self.ID, Digest: s.Config.Digest, Revision: s.Config.Revision}
	for id, i := range s.Instances().All() {
		if id == s.Self.ID {
			i = s.Self
		}
		status.Fleet = append(status.Fleet, memberStatus(s, i, now))
	}
	if s.Instances().Len() == 0 {
		status.Fleet = append(status.Fleet, memberStatus(s, s.Self, now))
	}
	for _, r := range s.Config.Document.RollOuts {
		p, ok := s.Progress(r.Name)
		if !ok {
			p = value.Progress{Name: r.Name, Phase: value.PhasePlanned}
		}
		status.RollOuts = append(status.RollOuts, p)
	}
	return status
}

func memberStatus(s state.State, i value.Instance, now time.Time) MemberStatus {
	st := MemberStatus{Instance: i}
	for installed := range s.Installs() {
		if installed.Revision <= i.Revision {
			break
		}
		st.Behind++
		st.Lag = now.Sub(installed.At)
	}
	return st
}
