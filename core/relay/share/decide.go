package share

import (
	"cmp"
	"fmt"
	"math"
	"time"

	"endivehitch/core/relay"
)

// Request is what the decision about a request rests on, besides the state of the service and of the accounts.
type Request struct {
	Account relay.AccountName
	// Rank is the priority, 0 being the most urgent.
	Rank      int
	Objective time.Duration
	// Left is the time until the deadline.
	Left time.Duration
	// Wait is the expected time to the first event at the chosen server.
	Wait time.Duration
	// Run is the time that even a short stream takes from its first event to its end; zero means unknown, or no stream.
	Run time.Duration
	// Hash is evenly distributed over requests and the same when the caller sends the request again.
	Hash uint64
}

// Verdict is the decision about a request.
type Verdict struct {
	Admitted bool
	// Reason and RetryAfter are set if the request is refused.
	Reason     relay.Reason
	RetryAfter time.Duration
	// Share is the share of such requests that is admitted, and Pressure that of the service.
	Share    float64
	Pressure float64
}

// Decide returns whether the request is admitted. One whose first event or, for a stream, end is expected after the
// deadline is refused. Under pressure, so are requests of accounts that use more than others, relative to what they use
// usually, and those of less urgent ranks at a lower pressure than others.
func Decide(r Request, pressure Pressure, totals Totals, now time.Time) Verdict {
	v := Verdict{Share: 1, Pressure: pressure.Value()}
	objective := cmp.Or(r.Objective, defaultObjective)
	wanted := r.Wait - time.Duration(steadyPressure*float64(objective))
	if r.Wait+r.Run >= r.Left {
		v.Reason, v.Share = relay.ReasonDeadlineTooNear, minShare
	} else if factor, limited := pressure.factor(r.Rank); limited {
		v.Reason, v.Share = relay.ReasonOverShare, totals.Share(r.Account, factor)
	}
	open, opensIn := window(r.Hash, v.Share, now)
	if open {
		v.Admitted, v.Reason = true, ""
		return v
	}
	v.RetryAfter = retryAfter(wanted, opensIn, r)
	return v
}

const (
	// windowTime is the least time for which a refused request is admitted once its turn comes; a caller that comes back at
	// the stated time must meet it in spite of the differences between the instances' clocks. At 400 ms rounds are so short
	// that more refused requests come back in time, and more first ones have to be refused.
	windowTime = 800 * time.Millisecond
	// roundSteps is the number of lengths that rounds may have between one and twice as long. With few, accounts whose shares
	// lie on both sides of a step get unequal parts of what they ask for; with many, lengths change while callers wait.
	roundSteps = 8
	// windowMargin is how far inside the window the stated time lies.
	windowMargin = 100 * time.Millisecond
)

// window reports whether the hash is among the given share of hashes that are admitted now, and otherwise the time until it
// is. Hashes take turns, so a refused request that comes back at the right time is admitted although few others are. The smaller
// the share, the longer is a round, so that those who come back can't exceed the share either.
func window(hash uint64, share float64, now time.Time) (bool, time.Duration) {
	if share >= 1 {
		return true, 0
	}
	round := float64(windowTime) * math.Exp2(math.Ceil(roundSteps*math.Log2(1/share))/roundSteps)
	offset := float64(hash>>11) / (1 << 53) * round
	at := math.Mod(float64(now.UnixNano()%int64(round))+offset, round)
	if at < share*round {
		return true, 0
	}
	return false, time.Duration(round - at)
}

const (
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// retryShare is the part of the time left, as its reciprocal, after which callers still come back.
	retryShare = 3
	// spreadParts is the number of different factors by which stated times are spread, so that callers that were refused
	// together don't come back together.
	spreadParts = 8
)

// retryAfter returns when the caller should come back: once the queue is expected to have shrunk and the request's turn has
// come, as far as the time left allows.
func retryAfter(wanted, opensIn time.Duration, r Request) time.Duration {
	longest := min(maxRetryAfter, r.Left/retryShare)
	if aimed := opensIn + windowMargin; aimed <= longest {
		return max(aimed, min(minRetryAfter, longest))
	}
	spread := time.Duration(r.Hash % spreadParts)
	wanted = max(wanted, longest/2)
	return min(max(minRetryAfter, wanted-wanted*spread/(4*spreadParts)), max(0, longest))
}

// Refusal returns the refusal of a request that is not admitted.
func (v Verdict) Refusal() relay.Refusal {
	detail := fmt.Sprintf("%.0f in 100 such requests are admitted, at a wait of %.1f objectives", 100*v.Share, v.Pressure)
	if v.Reason == relay.ReasonDeadlineTooNear {
		detail = "no server would answer before the deadline"
	}
	return relay.Refusal{Reason: v.Reason, NotRun: true, RetryAfter: v.RetryAfter, Detail: detail}
}
