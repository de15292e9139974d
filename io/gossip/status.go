package gossip

import (
	"context"
	"sync"

	"endivehitch/core/value"
	"endivehitch/io/peer"
)

// maxStatusCalls bounds the concurrent calls of one QueryStatus.
const maxStatusCalls = 32

// wireWhere asks for an instance's statement about itself.
type wireWhere struct{}

var statusMethod = peer.Method[wireWhere, wireSelf]{Name: "Member.Where"}

// QueryStatus queries every instance for the configuration it has in force and since when it lags.
//
// In a large fleet an instance receives these statements only from the few instances it exchanges
// probes with. Operators' status queries are rare enough to call every instance. For an instance
// that does not answer, the result holds its latest known statement.
func (g *Gossip) QueryStatus(ctx context.Context) []value.Instance {
	snapshot := g.membership.Control.Snapshot()
	var members []value.Instance
	for _, i := range snapshot.Instances().All() {
		members = append(members, i)
	}
	slots := make(chan struct{}, maxStatusCalls)
	var calls sync.WaitGroup
	for n, i := range members {
		if i.ID == snapshot.Self.ID || i.State == value.InstanceGone {
			continue
		}
		slots <- struct{}{}
		calls.Go(func() {
			defer func() { <-slots }()
			members[n] = g.membership.queryStatus(ctx, i)
		})
	}
	calls.Wait()
	return members
}

// queryStatus returns the instance as known here, updated with its own statement about its
// configuration if it answers. A reply under another ID is ignored: it comes from another instance at
// the same address.
func (m *membership) queryStatus(ctx context.Context, i value.Instance) value.Instance {
	ctx, cancel := context.WithTimeout(ctx, m.Timing.Period)
	defer cancel()
	reply, err := statusMethod.Call(ctx, m.Caller, i, wireWhere{})
	if err != nil || reply.Instance.ID != string(i.ID) {
		return i
	}
	reported := reply.value()
	return i.WithRevision(reported.Revision).WithDigest(reported.Digest).WithLaggingSince(reported.LaggingSince)
}

func (m *membership) handleStatus(wireWhere) (wireSelf, error) {
	return encodeSelf(m.Control.Snapshot().Self), nil
}
