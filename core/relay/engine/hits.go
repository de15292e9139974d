package engine

import "time"

// Rank is the place of a server among those that are expected to hold a shared part of prompts, from 0; all others have
// the rank Others.
type Rank int

const (
	// Holders is the number of servers that are expected to hold the same part.
	Holders = 2
	// Others is the rank of the servers that are not expected to hold the part.
	Others Rank = Holders
)

// priorHeld is the share of requests for which a server of each rank is assumed to hold the shared parts, with the weight
// of priorWeight requests. The second server gets those requests for which the first is busy.
var priorHeld = [Holders + 1]float64{1, 0.5, 0}

const (
	priorWeight = 20
	// maxHitWeight bounds the weight of past requests, so that newer ones replace them.
	maxHitWeight = 200
	// minSharedTime is the least time to read the shared parts for which an answer shows whether they were held.
	minSharedTime = 40 * time.Millisecond
)

// Hits says how often servers held the shared parts of prompts that they got; the zero value knows only the prior.
type Hits struct {
	held   [Holders + 1]float64
	weight [Holders + 1]float64
}

// With returns hits that include a request whose first event came after the time, at a server of the factor. It shows that
// the parts were held if it came sooner than all of the prompt could be read. Answers to prompts with little shared text
// show nothing.
func (h Hits) With(rank Rank, d Demand, factor float64, elapsed time.Duration) Hits {
	shared := scaled(d.Shared, factor)
	if shared < minSharedTime {
		return h
	}
	if h.weight[rank] >= maxHitWeight {
		left := (maxHitWeight - 1) / h.weight[rank]
		h.held[rank], h.weight[rank] = h.held[rank]*left, h.weight[rank]*left
	}
	h.weight[rank]++
	if elapsed < scaled(d.Own, factor)+shared {
		h.held[rank]++
	}
	return h
}

// Held returns the probability that a server of the rank holds the shared parts of a prompt, from 0 to 1.
func (h Hits) Held(rank Rank) float64 {
	return (h.held[rank] + priorHeld[rank]*priorWeight) / (h.weight[rank] + priorWeight)
}
