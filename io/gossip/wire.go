package gossip

import (
	"time"

	"endivehitch/core/value"
	"endivehitch/io/peer"
)

// wireInstance is a statement about an instance.
type wireInstance struct {
	ID            string
	FailureDomain string
	PeerAddress   string
	Incarnation   int64
	State         string
}

// wireSelf is an instance's statement about itself.
type wireSelf struct {
	Instance wireInstance
	Revision int64
	Digest   string
	Lagging  time.Time
}

// wirePing is both a probe and its answer.
type wirePing struct {
	From wireSelf
	News []wireInstance
}

// wireProbe asks for a probe of another instance.
type wireProbe struct {
	Target wireInstance
}

// wireProbed is the answer to wireProbe.
type wireProbed struct {
	Reached bool
}

// wireRoll asks for all that an instance knows of others.
type wireRoll struct{}

var (
	methodPing  = peer.Method[wirePing, wirePing]{Name: "Member.Ping"}
	methodProbe = peer.Method[wireProbe, wireProbed]{Name: "Member.Probe"}
	methodRoll  = peer.Method[wireRoll, wirePing]{Name: "Member.Roll"}
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

func encodeNews(list []value.Instance) []wireInstance {
	news := make([]wireInstance, len(list))
	for i, n := range list {
		news[i] = encodeInstance(n)
	}
	return news
}

func decodeNews(list []wireInstance) []value.Instance {
	news := make([]value.Instance, len(list))
	for i, n := range list {
		news[i] = n.value()
	}
	return news
}
