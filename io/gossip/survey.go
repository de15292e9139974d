package gossip

import (
	"context"
	"sync"

	"endivehitch/core/value"
	"endivehitch/io/peer"
)

// surveyCalls bounds the calls that a survey has under way.
const surveyCalls = 32

type wireWhere struct{}

var methodWhere = peer.Method[wireWhere, wireSelf]{Name: "Member.Where"}

// Survey asks every instance which configuration it has in force and since when it lags.
//
// In a large fleet an instance hears so only from the few that it exchanges probes with; an
// operator's question is rare enough for asking all. The statement of an instance that does not
// answer is the latest one heard.
func (g *Gossip) Survey(ctx context.Context) []value.Instance {
	s := g.member.Control.Snapshot()
	var asked []value.Instance
	for _, i := range s.Instances().All() {
		asked = append(asked, i)
	}
	places := make(chan struct{}, surveyCalls)
	var open sync.WaitGroup
	for n, i := range asked {
		if i.ID == s.Self.ID || i.State == value.InstanceGone {
			continue
		}
		places <- struct{}{}
		open.Go(func() {
			defer func() { <-places }()
			asked[n] = g.member.where(ctx, i)
		})
	}
	open.Wait()
	return asked
}

// where returns the instance as known here, with its own statement about its configuration.
func (m *member) where(ctx context.Context, i value.Instance) value.Instance {
	ctx, cancel := context.WithTimeout(ctx, m.Timing.Period)
	defer cancel()
	answer, err := methodWhere.Call(ctx, m.Caller, i, wireWhere{})
	if err != nil || answer.Instance.ID != string(i.ID) {
		return i
	}
	told := answer.value()
	return i.WithRevision(told.Revision).WithDigest(told.Digest).WithLaggingSince(told.LaggingSince)
}

func (m *member) answerWhere(wireWhere) (wireSelf, error) {
	return encodeSelf(m.Control.Snapshot().Self), nil
}
