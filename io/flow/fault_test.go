package flow_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/value"
	"endivehitch/io/engine"
)

var (
	errReset = errors.New("connection reset")
	good     = act{pieces: []string{"dear ", "answer"}}
)

func TestEveryFailureEndsTruly(t *testing.T) {
	notSent := act{refuse: engine.ErrNotSent}
	reset := act{refuse: errReset}
	cases := map[string]struct {
		kind    value.Kind
		first   act
		others  act
		sink    seen
		billing error
		text    string
		reason  value.Reason
		notRun  bool
		runs    int
		bills   int
		settled string
	}{
		"whole answer":                       {kind: spelling, first: good, text: "dear answer", runs: 1, bills: 1},
		"nothing sent, then whole":           {kind: spelling, first: notSent, others: good, text: "dear answer", runs: 2, bills: 1},
		"nothing sent anywhere":              {kind: spelling, first: notSent, others: notSent, reason: value.ReasonBackend, notRun: true, runs: 2},
		"lost after sending, then whole":     {kind: spelling, first: reset, others: good, text: "dear answer", runs: 2, bills: 1},
		"lost everywhere":                    {kind: spelling, first: reset, others: reset, reason: value.ReasonBackend, runs: 2},
		"connection ends before the head":    {kind: spelling, first: act{refuse: fmt.Errorf("call: %w", io.EOF)}, others: good, text: "dear answer", runs: 2, bills: 1},
		"connection ends before a piece":     {kind: spelling, first: act{end: errors.Join(engine.ErrCutOff, io.EOF)}, others: good, text: "dear answer", runs: 2, bills: 1},
		"connection ends after a piece":      {kind: spelling, first: act{pieces: []string{"dear "}, end: errors.Join(engine.ErrCutOff, io.EOF)}, text: "dear ", reason: value.ReasonBackend, runs: 1},
		"once: connection ends":              {kind: reorder, first: act{refuse: fmt.Errorf("call: %w", io.EOF)}, others: good, reason: value.ReasonBackend, runs: 1, settled: "Doubt"},
		"cut before the first piece":         {kind: spelling, first: act{end: engine.ErrCutOff}, others: good, text: "dear answer", runs: 2, bills: 1},
		"cut after the first piece":          {kind: spelling, first: act{pieces: []string{"dear "}, end: engine.ErrCutOff}, others: good, text: "dear ", reason: value.ReasonBackend, runs: 1},
		"stalls before the first piece":      {kind: spelling, first: act{head: time.Hour}, reason: value.ReasonDeadline, runs: 1},
		"stalls after the first piece":       {kind: spelling, first: act{pieces: []string{"dear ", "x"}, every: 40 * time.Second}, text: "dear ", reason: value.ReasonDeadline, runs: 1},
		"answers another request":            {kind: spelling, first: act{refuse: engine.ErrMismatch}, others: good, text: "dear answer", runs: 2, bills: 1},
		"request at fault":                   {kind: spelling, first: act{refuse: engine.BadStatus{Status: 400}}, others: good, reason: value.ReasonBadRequest, runs: 1},
		"server times out inside":            {kind: spelling, first: act{refuse: context.DeadlineExceeded}, others: act{refuse: context.DeadlineExceeded}, reason: value.ReasonBackend, runs: 2},
		"bill can't be kept":                 {kind: spelling, first: good, billing: errReset, text: "dear answer", reason: value.ReasonBackend, runs: 1},
		"caller's connection breaks":         {kind: spelling, first: good, sink: seen{fail: errReset}, text: "dear ", reason: value.ReasonBackend, runs: 1},
		"once: whole answer":                 {kind: reorder, first: good, text: "dear answer", runs: 1, bills: 1, settled: "Finish dear \nanswer"},
		"once: nothing sent, then whole":     {kind: reorder, first: notSent, others: good, text: "dear answer", runs: 2, bills: 1, settled: "Finish dear \nanswer"},
		"once: nothing sent anywhere":        {kind: reorder, first: notSent, others: notSent, reason: value.ReasonBackend, notRun: true, runs: 2, settled: "Release"},
		"once: lost after sending":           {kind: reorder, first: reset, others: good, reason: value.ReasonBackend, runs: 1, settled: "Doubt"},
		"once: cut":                          {kind: reorder, first: act{pieces: []string{"dear "}, end: engine.ErrCutOff}, others: good, text: "dear ", reason: value.ReasonBackend, runs: 1, settled: "Doubt"},
		"once: bill can't be kept":           {kind: reorder, first: good, billing: errReset, text: "dear answer", reason: value.ReasonBackend, runs: 1, settled: "Doubt"},
		"once: caller's connection breaks":   {kind: reorder, first: good, sink: seen{fail: errReset}, text: "dear ", reason: value.ReasonBackend, runs: 1, bills: 1, settled: "Finish dear \nanswer"},
		"once: stalls":                       {kind: reorder, first: act{head: time.Hour}, reason: value.ReasonDeadline, runs: 1, settled: "Doubt"},
		"shared: cut after the first piece":  {kind: shared, first: act{pieces: []string{"dear "}, end: engine.ErrCutOff}, others: good, text: "dear ", reason: value.ReasonBackend, runs: 1},
		"shared: nothing sent anywhere":      {kind: shared, first: notSent, others: notSent, reason: value.ReasonBackend, notRun: true, runs: 2},
		"shared: lost after sending, whole ": {kind: shared, first: reset, others: good, text: "dear answer", runs: 2, bills: 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				// Whichever server comes first, its first run goes by the first script.
				g := newRig(t, ward(c.kind), nil)
				g.acts = map[value.ServerID][]act{"s1": {c.first}, "s2": {c.first}}
				g.control = withServers(g.control, "s1", "s2")
				g.others = c.others
				g.billing = c.billing
				_, err := g.flow.Serve(t.Context(), job("r1", c.kind), &c.sink)
				synctest.Wait()
				assert.Equal(t, reasonOf(err), c.reason)
				assert.Equal(t, notRun(err), c.notRun)
				assert.Equal(t, c.sink.text, c.text)
				assert.Equal(t, c.sink.ended, err == nil)
				assert.Equal(t, g.runs["s1"]+g.runs["s2"], c.runs)
				assert.Equal(t, len(g.bills), c.bills)
				assert.Equal(t, strings.Join(g.settled, ","), c.settled)
				assert.Equal(t, g.running, 0)
				assert.Equal(t, g.inFlight(), 0)
			})
		})
	}
}

func reasonOf(err error) value.Reason {
	var refusal value.Refusal
	if errors.As(err, &refusal) {
		return refusal.Reason
	}
	return ""
}

func notRun(err error) bool {
	var refusal value.Refusal
	return errors.As(err, &refusal) && refusal.NotRun
}

func TestPanicOfTheSinkLeavesNothingBehind(t *testing.T) {
	for _, k := range []value.Kind{spelling, reorder, shared} {
		synctest.Test(t, func(t *testing.T) {
			g := newRig(t, ward(k), map[value.ServerID][]act{"s1": {good}})
			func() {
				defer func() { assert.Equal(t, recover(), "sink") }()
				_, _ = g.flow.Serve(t.Context(), job("r1", k), &seen{panic: true})
			}()
			synctest.Wait()
			assert.Equal(t, g.running, 0)
			assert.Equal(t, g.inFlight(), 0)
			assert.Equal(t, len(g.settled) == 1, !k.Idempotent)
			_, err := g.flow.Serve(t.Context(), job("r2", k), &seen{})
			assert.NilError(t, err, "the only place must be free again")
		})
	}
}

func TestRunUnderAClaimOutlivesItsCaller(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := newRig(t, ward(reorder), map[value.ServerID][]act{"s1": {{head: 2 * time.Second, pieces: []string{"done"}}}})
		ctx, leave := context.WithTimeout(t.Context(), time.Second)
		defer leave()
		_, _ = g.flow.Serve(ctx, job("r1", reorder), &seen{})
		assert.DeepEqual(t, g.settled, []string{"Finish done"})
		assert.Equal(t, len(g.bills), 1)
	})
}

func TestLateLoserOfAHedgeIsNeverSeen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		quick := act{head: 10 * time.Millisecond, pieces: []string{"quick"}}
		slow := act{head: 10 * time.Second, pieces: []string{"slow"}}
		g := newRig(t, ward(spelling), map[value.ServerID][]act{"s1": {quick}, "s2": {quick}})
		for range 60 {
			_, err := g.flow.Serve(t.Context(), job("r", spelling), &seen{})
			assert.NilError(t, err)
		}
		// The next run stalls, wherever it goes.
		g.others = quick
		g.acts = map[value.ServerID][]act{"s1": {slow}, "s2": {slow}}
		g.runs = make(map[value.ServerID]int)
		began := time.Now()
		caller := &seen{}
		result, err := g.flow.Serve(t.Context(), job("late", spelling), caller)
		assert.NilError(t, err)
		assert.Equal(t, caller.text, "quick")
		assert.Equal(t, result.Bill.Runs, 2)
		assert.Assert(t, time.Since(began) < time.Second)
		synctest.Wait()
		assert.Equal(t, g.running, 0, "the loser must be cancelled")
		assert.Equal(t, g.inFlight(), 0)
		assert.Equal(t, len(g.bills), 61)
	})
}

func TestWhatMustRunOnceIsNeverHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		quick := act{head: 10 * time.Millisecond, pieces: []string{"x"}}
		g := newRig(t, ward(reorder), map[value.ServerID][]act{"s1": {quick}, "s2": {quick}})
		for range 60 {
			_, err := g.flow.Serve(t.Context(), job("r", reorder), &seen{})
			assert.NilError(t, err)
		}
		g.acts = map[value.ServerID][]act{"s1": {{head: 10 * time.Second, pieces: []string{"x"}}}, "s2": {{head: 10 * time.Second, pieces: []string{"x"}}}}
		g.runs = make(map[value.ServerID]int)
		_, err := g.flow.Serve(t.Context(), job("late", reorder), &seen{})
		assert.NilError(t, err)
		assert.Equal(t, g.runs["s1"]+g.runs["s2"], 1)
	})
}

func TestRetriesStayInsideTheirBudget(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		down := []act{{refuse: errReset}}
		g := newRig(t, ward(spelling), map[value.ServerID][]act{"s1": down, "s2": down, "s3": down})
		const firsts = 400
		for range firsts {
			_, _ = g.flow.Serve(t.Context(), job("r", spelling), &seen{})
		}
		runs := g.runs["s1"] + g.runs["s2"] + g.runs["s3"]
		assert.Assert(t, runs > firsts, "some retries must be made")
		assert.Assert(t, runs <= firsts+firsts/10+10, "%d runs", runs)
	})
}
