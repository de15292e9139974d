package carry

import (
	"time"

	"endivehitch/core/policy"
	"endivehitch/core/relay"
)

const (
	firstHalfLife = 5 * time.Second
	firstWeight   = 20
	// failuresInRow shun a server for shunFirst, and for up to shunMost when it fails again and again.
	failuresInRow = 2
	shunFirst     = 500 * time.Millisecond
	shunMost      = 8 * time.Second
)

var firstByte = policy.SmoothConfig{HalfLife: firstHalfLife, MaxWeight: firstWeight}

// board holds what this instance observes of each server.
type board struct {
	policy.Cells[relay.ServerID, relay.Load]
}

// retain forgets servers that are gone.
func (b *board) retain(known func(relay.ServerID) bool) {
	for id, load := range b.All() {
		if !known(id) && load.InFlight == 0 {
			b.Drop(id)
		}
	}
}

// visit is one run's place on the board; each of its steps is counted once.
type visit struct {
	cell  *policy.Cell[relay.Load]
	work  time.Duration
	began time.Time
	// took is the time until the first byte.
	took  time.Duration
	first bool
	ended bool
}

func (b *board) start(id relay.ServerID, work time.Duration, at time.Time) *visit {
	v := &visit{cell: b.Of(id), work: work, began: at}
	v.cell.Update(func(l relay.Load) relay.Load { return l.WithStart(work) })
	return v
}

func (v *visit) begin(at time.Time) {
	if v.first {
		return
	}
	v.first = true
	v.took = at.Sub(v.began)
	v.cell.Update(func(l relay.Load) relay.Load { return l.WithFirst(firstByte, v.work, at.Sub(v.began), at) })
}

// heard notes that the server has sent something.
func (v *visit) heard(at time.Time) {
	v.cell.Update(func(l relay.Load) relay.Load { return l.WithHeard(at) })
}

// silent returns how long the server has sent nothing on any run, counted from this run's start at most.
func (v *visit) silent(at time.Time) time.Duration {
	last := v.cell.Get().Heard
	if last.Before(v.began) {
		last = v.began
	}
	return at.Sub(last)
}

// lone reports whether this instance has no other run at the server.
func (v *visit) lone() bool {
	return v.cell.Get().InFlight <= 1
}

func (v *visit) report(r relay.Report, at time.Time) {
	v.cell.Update(func(l relay.Load) relay.Load { return l.WithReport(r, at) })
}

func (v *visit) good(at time.Time) {
	v.cell.Update(func(l relay.Load) relay.Load { return l.WithSuccess(at) })
}

// failed notes an answer of the server's own that says that it failed; a request may be to blame.
func (v *visit) failed(at time.Time) {
	v.cell.Update(func(l relay.Load) relay.Load { return l.WithBadAnswer(at) })
}

func (v *visit) bad(at time.Time) {
	v.cell.Update(func(l relay.Load) relay.Load { return l.WithFailure(failuresInRow, shunFirst, shunMost, at) })
}

func (v *visit) end() {
	if v.ended {
		return
	}
	v.ended = true
	v.cell.Update(func(l relay.Load) relay.Load {
		if !v.first {
			l = l.WithoutWork(v.work)
		}
		return l.WithEnd()
	})
}
