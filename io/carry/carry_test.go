package carry_test

import (
	"context"
	"errors"
	"io"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
	"endivehitch/io/carry"
)

var errReset = errors.New("connection reset")

func TestAWholeAnswerIsPassedOn(t *testing.T) {
	g := newRig(t, plain(relay.RepeatNever), good("done"))
	assert.NilError(t, g.serve(t.Context()))
	assert.Equal(t, g.sink.body.String(), "done")
	assert.Equal(t, len(g.script.sends), 1)
	assert.DeepEqual(t, g.recorder.what, []carry.What{carry.WhatAnswered})
}

func TestWhatMayNotBeRepeatedIsSentAgainOnlyWhenItHasNotRun(t *testing.T) {
	cases := map[string]struct {
		first func(context.Context, run) (*answer, error)
		again bool
	}{
		"not connected":   {fails(carry.ErrUnsent), true},
		"declined":        {with(answer{Status: 503, NotRun: true}, "", io.EOF), true},
		"another's place": {with(answer{Status: 421, NotRun: true}, "", io.EOF), true},
		"answer lost":     {fails(carry.ErrLost), false},
		"body cut":        {with(answer{Status: 200, Signed: true}, "do", errReset), false},
		"not signed":      {with(answer{Status: 200}, "done", io.EOF), false},
		"encoded":         {with(answer{Status: 200, Signed: true, Encoded: true}, "x", io.EOF), false},
		"busy, unsigned":  {with(answer{Status: 503}, "", io.EOF), false},
	}
	for name, c := range cases {
		g := newRig(t, plain(relay.RepeatNever), c.first, good("done"))
		err := g.serve(t.Context())
		if c.again {
			assert.NilError(t, err, name)
			assert.Equal(t, g.sink.body.String(), "done", name)
			g.sentOnceEach()
			continue
		}
		r := g.refusal(err)
		assert.Assert(t, !r.NotRun, "%s: the request may have run", name)
		assert.Equal(t, len(g.script.sends), 1, name)
		assert.Equal(t, g.sink.body.Len(), 0, name)
	}
}

func TestARefusalIsTrueWhenEveryServerDeclined(t *testing.T) {
	g := newRig(t, plain(relay.RepeatNever), with(answer{Status: 503, NotRun: true}, "", io.EOF))
	r := g.refusal(g.serve(t.Context()))
	assert.Assert(t, r.NotRun)
	assert.Assert(t, r.RetryAfter > 0)
	assert.Equal(t, len(g.script.sends), 3)
}

func TestWhatMayBeRepeatedIsTriedElsewhere(t *testing.T) {
	for _, first := range []func(context.Context, run) (*answer, error){
		fails(carry.ErrLost), with(answer{Status: 500, Signed: true}, "oops", io.EOF),
		with(answer{Status: 200, Signed: true}, "do", errReset), with(answer{Status: 200}, "forged", io.EOF),
	} {
		g := newRig(t, plain(relay.RepeatFreely), first, good("done"))
		assert.NilError(t, g.serve(t.Context()))
		assert.Equal(t, g.sink.body.String(), "done")
		g.sentOnceEach()
	}
}

func TestAServersOwnFailureGoesToTheCallerInTheEnd(t *testing.T) {
	g := newRig(t, plain(relay.RepeatFreely), with(answer{Status: 500, Signed: true}, "oops", io.EOF))
	assert.NilError(t, g.serve(t.Context()))
	assert.Equal(t, g.sink.head.Status, 500)
	assert.Equal(t, g.sink.body.String(), "oops")
	assert.Equal(t, len(g.script.sends), 3)
	g = newRig(t, plain(relay.RepeatNever), with(answer{Status: 500, Signed: true}, "oops", io.EOF))
	assert.NilError(t, g.serve(t.Context()))
	assert.Equal(t, len(g.script.sends), 1)
}

const (
	first  = "id: 1\ndata: a\n\n"
	second = "id: 2\ndata: b\n\n"
)

func events(body string, end error) func(context.Context, run) (*answer, error) {
	return with(answer{Status: 200, Signed: true, Stream: true}, body, end)
}

func TestABrokenStreamGoesOnAtAnotherServer(t *testing.T) {
	for _, half := range []string{"", "id: 2\nda"} {
		for _, end := range []error{errReset, io.ErrUnexpectedEOF} {
			g := newRig(t, streamed(relay.RepeatResumed), events(first+half, end), events(second, io.EOF))
			assert.NilError(t, g.serve(t.Context()))
			assert.Equal(t, g.sink.body.String(), first+second)
			assert.Equal(t, g.script.sends[1].After, "1")
			assert.Equal(t, g.sink.head.Head.name, string(g.script.sends[0].Server.ID), "the first server's head stays")
			g.sentOnceEach()
		}
	}
}

func TestAStreamThatEndsInsideAnEventIsNotWhole(t *testing.T) {
	g := newRig(t, streamed(relay.RepeatNever), events(first+"id: 2\nda", io.EOF))
	assert.ErrorIs(t, g.serve(t.Context()), carry.ErrCut)
	assert.Equal(t, g.sink.body.String(), first)
	assert.Equal(t, len(g.script.sends), 1)
}

func cascade() relay.Route {
	r := streamed(relay.RepeatResumed)
	r.Models = []relay.ModelName{"small", "large"}
	return r
}

func TestAnAnswerOfLowConfidenceIsDroppedUnseen(t *testing.T) {
	unsure := with(answer{Status: 200, Signed: true, Stream: true, Confidence: 5}, first, io.EOF)
	g := newRig(t, cascade(), unsure, events(second, io.EOF))
	assert.NilError(t, g.serve(t.Context()))
	assert.Equal(t, g.sink.body.String(), second)
	assert.Equal(t, g.script.sends[0].Model, relay.ModelName("small"))
	assert.Equal(t, g.script.sends[1].Model, relay.ModelName("large"))
	assert.Assert(t, g.script.sends[1].Rank > g.script.sends[0].Rank, "larger runs are less urgent")
}

func TestASureAnswerStays(t *testing.T) {
	g := newRig(t, cascade(), with(answer{Status: 200, Signed: true, Stream: true, Confidence: 95}, first, io.EOF))
	assert.NilError(t, g.serve(t.Context()))
	assert.Equal(t, len(g.script.sends), 1)
}

func TestAStepUpThatFailsIsTriedWithTheLargerModel(t *testing.T) {
	unsure := with(answer{Status: 200, Signed: true, Stream: true, Confidence: 5}, first, io.EOF)
	g := newRig(t, cascade(), unsure, fails(carry.ErrLost), events(second, io.EOF))
	assert.NilError(t, g.serve(t.Context()))
	assert.Equal(t, g.script.sends[2].Model, relay.ModelName("large"))
}

func TestLargerModelsAreAskedLessWhileTheirAnswersAreLate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		unsure := with(answer{Status: 200, Signed: true, Stream: true, Confidence: 30}, first, io.EOF)
		late := func(ctx context.Context, r run) (*answer, error) {
			time.Sleep(cascade().Objective + time.Second)
			return with(answer{Status: 200, Signed: true, Stream: true, Confidence: 90}, first, io.EOF)(ctx, r)
		}
		g := newRig(t, cascade())
		g.script.turns = []func(context.Context, run) (*answer, error){func(ctx context.Context, r run) (*answer, error) {
			if r.Model == "small" {
				return unsure(ctx, r)
			}
			return late(ctx, r)
		}}
		asked := func(requests int) int {
			before := len(g.script.sends)
			for range requests {
				assert.NilError(t, g.serveTo(t.Context(), new(sink)))
			}
			return len(g.script.sends) - before - requests
		}
		assert.Equal(t, asked(2), 2)
		asked(20)
		assert.Assert(t, asked(20) < 10, "the larger model is still asked each time")
	})
}

func TestASilentServerIsLeftWhereAnotherMayGoOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		g := newRig(t, streamed(relay.RepeatResumed), silent, events(first, io.EOF))
		assert.NilError(t, g.serve(t.Context()))
		assert.Equal(t, g.sink.body.String(), first)
		assert.Assert(t, time.Since(began) < 3*time.Second)
	})
}

func TestAServerThatIsSilentOnSeveralRunsIsLeftInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const requests = 12
		g := newRig(t, streamed(relay.RepeatResumed), func(ctx context.Context, r run) (*answer, error) {
			if r.Server.ID == "s1" {
				return silent(ctx, r)
			}
			return events(first, io.EOF)(ctx, r)
		})
		var inTime atomic.Int32
		var all sync.WaitGroup
		began := time.Now()
		for range requests {
			all.Go(func() {
				if g.serveTo(t.Context(), new(sink)) == nil && time.Since(began) < 2*time.Second {
					inTime.Add(1)
				}
			})
		}
		all.Wait()
		// The last run at the silent server has no company any more.
		assert.Assert(t, inTime.Load() >= requests-1, "%d of %d in time for the objective", inTime.Load(), requests)
	})
}

func TestASilentServerIsWaitedForWhereNothingMayBeRepeated(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		began := time.Now()
		g := newRig(t, plain(relay.RepeatNever), silent)
		r := g.refusal(g.serve(t.Context()))
		assert.Equal(t, r.Reason, relay.ReasonTimeout)
		assert.Assert(t, !r.NotRun)
		assert.Equal(t, len(g.script.sends), 1)
		assert.Equal(t, time.Since(began), 8*time.Second, "the final answer comes at the deadline")
	})
}

func TestTheRouteTimeoutBoundsTheWait(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := plain(relay.RepeatNever)
		r.Timeout = 3 * time.Second
		began := time.Now()
		g := newRig(t, r, silent)
		assert.Equal(t, g.refusal(g.serve(t.Context())).Reason, relay.ReasonTimeout)
		assert.Equal(t, time.Since(began), 3*time.Second)
		assert.Assert(t, g.script.sends[0].Left <= 3*time.Second, "the server learns what is left")
	})
}

func TestACallerThatLeavesTakesItsRunWithIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		g := newRig(t, plain(relay.RepeatFreely), silent)
		time.AfterFunc(100*time.Millisecond, cancel)
		began := time.Now()
		assert.Equal(t, g.refusal(g.serve(ctx)).Reason, relay.ReasonCallerLeft)
		assert.Equal(t, time.Since(began), 100*time.Millisecond)
		assert.Equal(t, len(g.script.sends), 1)
	})
}

func TestRepeatsStayInTheBudget(t *testing.T) {
	g := newRig(t, plain(relay.RepeatFreely), fails(carry.ErrLost))
	const requests = 400
	for range requests {
		assert.Assert(t, g.serve(t.Context()) != nil)
	}
	repeats := len(g.script.sends) - requests
	assert.Assert(t, repeats <= requests*90/100+30, "%d repeats of %d requests", repeats, requests)
	assert.Assert(t, repeats > 0)
}

func TestACrashOfManyServersFindsABudget(t *testing.T) {
	g := newRig(t, plain(relay.RepeatFreely), good("done"))
	for range 100 {
		assert.NilError(t, g.serve(t.Context()))
	}
	g.script.sends = nil
	g.script.turns = make([]func(context.Context, run) (*answer, error), 0, 60)
	for range 30 {
		g.script.turns = append(g.script.turns, fails(carry.ErrLost), good("done"))
	}
	for range 30 {
		assert.NilError(t, g.serve(t.Context()))
	}
}

func TestServersThatRefuseConnectionsCostNoBudget(t *testing.T) {
	g := newRig(t, plain(relay.RepeatNever), fails(carry.ErrUnsent), good("done"))
	for range 300 {
		g.script.sends = nil
		assert.NilError(t, g.serve(t.Context()))
	}
}

func TestOnlyAnswersCountAgainstARelease(t *testing.T) {
	g := newRig(t, plain(relay.RepeatFreely), fails(carry.ErrLost), with(answer{Status: 500, Signed: true}, "", io.EOF), good("done"))
	assert.NilError(t, g.serve(t.Context()))
	assert.DeepEqual(t, g.carrier.Tallies(), []relay.Tally{{Service: "app", Release: "v1", Runs: 2, Failed: 1}})
}
