package cmds

import (
	"time"

	"endivehitch/core/fleet"
	"endivehitch/core/state"
	"endivehitch/core/value"
)

// Heard takes in a message of another instance: its statement about itself and news of others.
type Heard struct {
	From value.Instance
	News []value.Instance
	// Roll says that News is all that the sender knows, which is no news to others.
	Roll bool
}

// Apply merges the news; it is idempotent, so that a duplicated or a late message does no harm.
func (c Heard) Apply(s state.State, now time.Time) (state.State, []state.Effect) {
	var effects []state.Effect
	for _, news := range c.News {
		if c.Roll {
			s = note(s, news, now)
			continue
		}
		var more []state.Effect
		s, more = learn(s, news, now)
		effects = append(effects, more...)
	}
	s, more := learn(s, c.From, now)
	effects = append(effects, more...)
	s = witness(s, c.From, now)
	if c.From.Revision > s.Self.Revision {
		s = s.WithNewest(c.From.Revision, now)
		effects = append(effects, state.Behind{Revision: c.From.Revision, Source: c.From})
	}
	return s, effects
}

// witness notes the sign of life and which configuration the sender has in force.
func witness(s state.State, from value.Instance, now time.Time) state.State {
	known, ok := s.Instance(from.ID)
	if !ok || from.ID == s.Self.ID {
		return s
	}
	known = known.WithSeen(now)
	if from.Revision >= known.Revision {
		known = known.WithRevision(from.Revision).WithDigest(from.Digest).WithLagging(from.Lagging)
	}
	return s.WithInstance(known)
}

// learn merges one piece of news and passes it on where it is new.
func learn(s state.State, news value.Instance, now time.Time) (state.State, []state.Effect) {
	if news.ID == s.Self.ID {
		return refute(s, news)
	}
	known, ok := s.Instance(news.ID)
	if !ok {
		return settle(s, fresh(news, now))
	}
	if !fleet.Supersedes(news, known) {
		return s, nil
	}
	return settle(s, fleet.Merge(known, news, now))
}

// note adds an instance that was unknown, without passing it on.
func note(s state.State, news value.Instance, now time.Time) state.State {
	if _, ok := s.Instance(news.ID); ok {
		return s
	}
	return s.WithInstance(fresh(news, now))
}

// fresh drops what the sender observed itself.
func fresh(news value.Instance, now time.Time) value.Instance {
	return news.WithSince(now).WithSeen(time.Time{}).WithListed(false)
}

func refute(s state.State, news value.Instance) (state.State, []state.Effect) {
	if !fleet.Refutes(s.Self, news) {
		return s, nil
	}
	// Every message carries the instance's statement about itself, so it needs no passing on here.
	return s.WithSelf(s.Self.WithIncarnation(news.Incarnation + 1)), []state.Effect{
		state.Decided{What: "SuspicionRefuted", Subject: string(s.Self.ID), Reason: value.Reason(news.State)},
	}
}

// settle puts the instance's new standing in force and passes it on.
func settle(s state.State, i value.Instance) (state.State, []state.Effect) {
	s = s.WithInstance(i)
	s = s.WithPendingUpdate(i.ID, fleet.RumourTimes(s.Instances().Len()))
	return s, []state.Effect{state.Decided{What: "Instance" + string(i.State), Subject: string(i.ID)}}
}
