package gossip

import (
	"time"

	"endivehitch/core/value"
	"endivehitch/io/peer"
)

// wireInstance is one membership update: a statement about an instance.
type wireInstance struct {
	ID            string
	FailureDomain string
	PeerAddress   string
	Incarnation   int64
	State         string
}

// wireSelf is an instance's statement about itself and the configuration it has in force.
type wireSelf struct {
	Instance wireInstance
	Revision int64
	Digest   string
	Lagging  time.Time
}

// wirePing is a gossip message: both a direct probe and its answer.
type wirePing struct {
	From wireSelf
	// News holds the membership updates.
	News []wireInstance
}

// wireProbe asks a helper for an indirect probe of another instance.
type wireProbe struct {
	Target wireInstance
}

// wireProbed is the answer to wireProbe.
type wireProbed struct {
	Reached bool
}

// wireRoll asks for an instance's complete membership list.
type wireRoll struct{}

var (
	pingMethod           = peer.Method[wirePing, wirePing]{Name: "Member.Ping"}
	probeMethod          = peer.Method[wireProbe, wireProbed]{Name: "Member.Probe"}
	membershipListMethod = peer.Method[wireRoll, wirePing]{Name: "Member.Roll"}
)

func encodeInstance(i value.Instance) wireInstance {
	return wireInstance{
		ID:            string(i.ID),
		FailureDomain: string(i.FailureDomain),
		PeerAddress:   i.PeerAddress,
		Incarnation:   i.Incarnation,
		State:         string(i.State),
	}
}

func (w wireInstance) value() value.Instance {
	return value.Instance{
		ID:            value.InstanceID(w.ID),
		FailureDomain: value.FailureDomain(w.FailureDomain),
		PeerAddress:   w.PeerAddress,
		Incarnation:   w.Incarnation,
		State:         value.InstanceState(w.State),
	}
}

func encodeSelf(i value.Instance) wireSelf {
	return wireSelf{Instance: encodeInstance(i), Revision: i.Revision, Digest: i.Digest, Lagging: i.LaggingSince}
}

func (w wireSelf) value() value.Instance {
	return w.Instance.value().WithRevision(w.Revision).WithDigest(w.Digest).WithLaggingSince(w.Lagging)
}

func encodeUpdates(list []value.Instance) []wireInstance {
	updates := make([]wireInstance, len(list))
	for i, instance := range list {
		updates[i] = encodeInstance(instance)
	}
	return updates
}

func decodeUpdates(list []wireInstance) []value.Instance {
	updates := make([]value.Instance, len(list))
	for i, w := range list {
		updates[i] = w.value()
	}
	return updates
}
