package cmds

import (
	"time"

	"endivehitch/core/fleet"
	"endivehitch/core/state"
	"endivehitch/core/value"
)

// ReceiveMessage merges a gossip message from another instance.
type ReceiveMessage struct {
	// From is the sender's own state.
	From value.Instance
	// Updates holds the sender's updates on other instances.
	Updates []value.Instance
	// IsMembershipList reports that Updates is the sender's complete membership list. Such a list only
	// adds unknown instances, and these are not disseminated.
	IsMembershipList bool
}

// Apply merges the message; it is idempotent, so that a duplicated or late message does no harm.
func (c ReceiveMessage) Apply(s state.State, now time.Time) (state.State, []state.Effect) {
	var effects []state.Effect
	for _, update := range c.Updates {
		if c.IsMembershipList {
			s = addIfUnknown(s, update, now)
			continue
		}
		var more []state.Effect
		s, more = mergeUpdate(s, update, now)
		effects = append(effects, more...)
	}
	s, more := mergeUpdate(s, c.From, now)
	effects = append(effects, more...)
	s = recordContact(s, c.From, now)
	if c.From.Revision > s.Self.Revision {
		s = s.WithNewestKnown(c.From.Revision, now)
		effects = append(effects, state.FetchConfig{Revision: c.From.Revision, Source: c.From})
	}
	return s, effects
}

// recordContact records that the sender sent a message now and which configuration it has in force.
func recordContact(s state.State, from value.Instance, now time.Time) state.State {
	known, ok := s.Instance(from.ID)
	if !ok || from.ID == s.Self.ID {
		return s
	}
	known = known.WithLastContact(now)
	if from.Revision >= known.Revision {
		known = known.WithRevision(from.Revision).WithDigest(from.Digest).WithLaggingSince(from.LaggingSince)
	}
	return s.WithInstance(known)
}

// mergeUpdate merges one update and disseminates it if it changes what is known.
func mergeUpdate(s state.State, update value.Instance, now time.Time) (state.State, []state.Effect) {
	if update.ID == s.Self.ID {
		return refute(s, update)
	}
	known, ok := s.Instance(update.ID)
	if !ok {
		return updateAndDisseminate(s, withoutObservations(update, now))
	}
	if !fleet.Supersedes(update, known) {
		return s, nil
	}
	return updateAndDisseminate(s, fleet.Merge(known, update, now))
}

// addIfUnknown adds an instance that was unknown, without disseminating it.
func addIfUnknown(s state.State, update value.Instance, now time.Time) state.State {
	if _, ok := s.Instance(update.ID); ok {
		return s
	}
	return s.WithInstance(withoutObservations(update, now))
}

// withoutObservations discards what the sender observed of the instance; its state counts from now.
func withoutObservations(update value.Instance, now time.Time) value.Instance {
	return update.WithSince(now).WithLastContact(time.Time{}).WithListed(false)
}

// refute raises this instance's incarnation where an update reports a worse state than its own.
func refute(s state.State, update value.Instance) (state.State, []state.Effect) {
	if !fleet.Refutes(s.Self, update) {
		return s, nil
	}
	// Every message of this instance carries its own state, so the new incarnation needs no separate
	// dissemination.
	return s.WithSelf(s.Self.WithIncarnation(update.Incarnation + 1)), []state.Effect{
		state.RecordDecision{Event: "SuspicionRefuted", Subject: string(s.Self.ID), Reason: value.Reason(update.State)},
	}
}

// updateAndDisseminate sets the instance's new state and makes it an update for gossip to send.
func updateAndDisseminate(s state.State, i value.Instance) (state.State, []state.Effect) {
	s = s.WithInstance(i)
	s = s.WithPendingUpdate(i.ID, fleet.TransmitCount(s.Instances().Len()))
	return s, []state.Effect{state.RecordDecision{Event: "Instance" + string(i.State), Subject: string(i.ID)}}
}
