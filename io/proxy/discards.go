package proxy

import (
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/relay"
)

const (
	// maxDiscardedHeads bounds the dropped answers that are remembered, and discardedCrashTime is how long after its
	// head a server may crash on one.
	maxDiscardedHeads  = 64
	discardedCrashTime = 500 * time.Millisecond
)

// discardedHead is an answer of which only the head was taken. The server may crash on it all the same, which nothing on
// its closed connection shows.
type discardedHead struct {
	server uint64
	parts  []relay.Part
	at     time.Time
}

// discards holds the latest answers that were dropped after their heads.
type discards struct {
	heads *policy.Cell[policy.Ring[discardedHead]]
}

func newDiscards() discards {
	return discards{heads: policy.NewCell(policy.NewRing[discardedHead](maxDiscardedHeads))}
}

// record records that the server's answer to a request with the parts was dropped after its head.
func (d discards) record(parts []relay.Part, server relay.ServerID, now time.Time) {
	if len(parts) == 0 {
		return
	}
	d.heads.Update(func(r policy.Ring[discardedHead]) policy.Ring[discardedHead] {
		return r.With(discardedHead{server: hashOf(server), parts: parts, at: now})
	})
}

// suspects returns the parts of each prompt on whose dropped answer the server may have crashed.
func (d discards) suspects(server uint64, crashedAt time.Time) [][]relay.Part {
	var prompts [][]relay.Part
	for head := range d.heads.Get().All() {
		if after := crashedAt.Sub(head.at); head.server == server && after >= 0 && after <= discardedCrashTime {
			prompts = append(prompts, head.parts)
		}
	}
	return prompts
}
