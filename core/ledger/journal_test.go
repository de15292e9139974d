package ledger_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"endivehitch/core/ledger"
	"endivehitch/core/value"
)

var (
	start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	rule  = ledger.JournalRule{Retention: time.Hour, AbandonAfter: 10 * time.Second, MaxBytes: 8 << 10, MaxAnswerBytes: 1 << 10}
)

func inputsAt(d time.Duration, departed ...value.InstanceID) ledger.DecisionInputs {
	return ledger.DecisionInputs{Now: start.Add(d), HasDeparted: func(id value.InstanceID) bool {
		for _, holder := range departed {
			if holder == id {
				return true
			}
		}
		return false
	}}
}

func claim(key, token string, holder value.InstanceID) ledger.Op {
	return ledger.Op{
		Verb: ledger.VerbClaim, ID: ledger.NewCallID("ward-12", value.IdempotencyKey(key)),
		Kind: "reorder", RequestHash: 7, Token: token, Holder: holder, Until: start.Add(time.Minute),
	}
}

// decide applies one operation and returns the next journal and the outcome.
func decide(j ledger.Journal, op ledger.Op, inputs ledger.DecisionInputs) (ledger.Journal, ledger.Outcome) {
	next, verdicts, _ := j.Decide([]ledger.Op{op}, rule, inputs)
	return next, verdicts[0].Outcome
}

func TestCallIDsOfDifferentAccountsOrKeysDiffer(t *testing.T) {
	assert.Assert(t, ledger.NewCallID("a", "bc") != ledger.NewCallID("ab", "c"))
	assert.Assert(t, ledger.NewCallID("1", "1:x") != ledger.NewCallID("11", ":x"))
	assert.Assert(t, ledger.NewCallID("a", "\xff") != ledger.NewCallID("a", "\xfe"))
}

func TestSecondClaimIsGrantedOnlyAfterRelease(t *testing.T) {
	first := claim("k", "t1", "i1")
	second := claim("k", "t2", "i2")
	answer := ledger.Answer{Status: 200, Body: []byte("done"), Bytes: 4}
	for _, c := range []struct {
		name string
		ops  []ledger.Op
		at   ledger.DecisionInputs
		want ledger.Outcome
	}{
		{"running", nil, inputsAt(time.Second), ledger.OutcomeRunning},
		{"running, deadline passed less than AbandonAfter ago", nil, inputsAt(69 * time.Second), ledger.OutcomeRunning},
		{"deadline passed AbandonAfter ago", nil, inputsAt(70 * time.Second), ledger.OutcomeUnknown},
		{"holder departed, claimed less than AbandonAfter ago", nil, inputsAt(9*time.Second, "i1"), ledger.OutcomeRunning},
		{"holder departed, claimed AbandonAfter ago", nil, inputsAt(10*time.Second, "i1"), ledger.OutcomeUnknown},
		{"finished", []ledger.Op{first.WithAnswer(answer)}, inputsAt(time.Second), ledger.OutcomeAnswered},
		{"in doubt", []ledger.Op{first.WithVerb(ledger.VerbMarkInDoubt)}, inputsAt(time.Second), ledger.OutcomeUnknown},
		{"in doubt, then finished", []ledger.Op{first.WithVerb(ledger.VerbMarkInDoubt), first.WithAnswer(answer)}, inputsAt(time.Second), ledger.OutcomeAnswered},
		{"finished, then released", []ledger.Op{first.WithAnswer(answer), first.WithVerb(ledger.VerbRelease)}, inputsAt(time.Second), ledger.OutcomeAnswered},
		{"released with another token", []ledger.Op{second.WithVerb(ledger.VerbRelease)}, inputsAt(time.Second), ledger.OutcomeRunning},
		{"released", []ledger.Op{first.WithVerb(ledger.VerbRelease)}, inputsAt(time.Second), ledger.OutcomeGranted},
	} {
		j, got := decide(ledger.Journal{}, first, inputsAt(0))
		assert.Equal(t, got, ledger.OutcomeGranted, c.name)
		j, _, _ = j.Decide(c.ops, rule, inputsAt(time.Second))
		second.Until = c.at.Now.Add(time.Minute)
		_, got = decide(j, second, c.at)
		assert.Equal(t, got, c.want, c.name)
	}
}

func TestKeyReusedForAnotherRequestIsRefused(t *testing.T) {
	j, _ := decide(ledger.Journal{}, claim("k", "t1", "i1"), inputsAt(0))
	other := claim("k", "t2", "i1")
	other.RequestHash = 8
	_, got := decide(j, other, inputsAt(0))
	assert.Equal(t, got, ledger.OutcomeReused)
}

func TestClaimThatArrivesAfterItsReleaseIsNotGranted(t *testing.T) {
	c := claim("k", "t1", "i1")
	j, _ := decide(ledger.Journal{}, c, inputsAt(0))
	j, _ = decide(j, c.WithVerb(ledger.VerbRelease), inputsAt(0))
	_, got := decide(j, c, inputsAt(time.Second))
	assert.Equal(t, got, ledger.OutcomeLate)
	_, got = decide(ledger.Journal{}, c, inputsAt(time.Minute))
	assert.Equal(t, got, ledger.OutcomeLate, "claim whose deadline has passed")
}

func TestTooLargeAnswerIsStoredWithoutItsBody(t *testing.T) {
	c := claim("k", "t1", "i1")
	j, _ := decide(ledger.Journal{}, c, inputsAt(0))
	j, _ = decide(j, c.WithAnswer(ledger.Answer{Body: make([]byte, 2<<10), Digest: "d", Bytes: 2 << 10}), inputsAt(0))
	r, ok := j.Get(c.ID)
	assert.Assert(t, ok)
	assert.Assert(t, !r.Answer.IsComplete())
	assert.Equal(t, r.Answer.Digest, "d")
}

// Applies random operations and checks that no call is granted twice without a release or an expiry in
// between, that the size stays within its limit and that no running claim is removed.
func TestJournalInvariantsHoldForRandomOperations(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var j ledger.Journal
		var now time.Duration
		var departed []value.InstanceID
		open := map[ledger.CallID]ledger.Op{}
		settledAt := map[ledger.CallID]time.Duration{}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "seconds")) * time.Second
			inputs := inputsAt(now, departed...)
			op := claim(fmt.Sprint(rapid.IntRange(0, 12).Draw(t, "key")), fmt.Sprint(i), "i1")
			op.Until = inputs.Now.Add(30 * time.Second)
			held, isOpen := open[op.ID]
			verb := rapid.SampledFrom([]ledger.Verb{ledger.VerbClaim, ledger.VerbClaim, ledger.VerbFinish, ledger.VerbMarkInDoubt, ledger.VerbRelease}).Draw(t, "verb")
			if verb != ledger.VerbClaim {
				body := make([]byte, rapid.IntRange(0, 1500).Draw(t, "body"))
				op = held.WithAnswer(ledger.Answer{Body: body, Bytes: len(body)}).WithVerb(verb)
			}
			next, got := decide(j, op, inputs)
			assert.Assert(t, next.Size() <= rule.MaxBytes)
			if got == ledger.OutcomeGranted {
				since, settled := settledAt[op.ID]
				assert.Assert(t, !isOpen || (settled && now-since >= rule.Retention), "granted twice")
				open[op.ID] = op
				delete(settledAt, op.ID)
			}
			if verb == ledger.VerbRelease && got == ledger.OutcomeSettled {
				if r, _ := next.Get(op.ID); r.State == ledger.RunReleased {
					delete(open, op.ID)
				}
			}
			for id := range open {
				if r, ok := next.Get(id); ok && r.State != ledger.RunIntended {
					if _, known := settledAt[id]; !known {
						settledAt[id] = now
					}
				} else if !ok {
					assert.Assert(t, now-settledAt[id] >= rule.Retention && settledAt[id] > 0, "record of %s removed too early", id)
				}
			}
			j = next
		}
	})
}

func TestFullJournalRefusesClaimsAndKeepsItsRecords(t *testing.T) {
	var j ledger.Journal
	var last ledger.Outcome
	granted := 0
	for i := range 100 {
		c := claim(fmt.Sprint(i), fmt.Sprint(i), "i1")
		j, last = decide(j, c, inputsAt(0))
		if last == ledger.OutcomeGranted {
			granted++
			j, _ = decide(j, c.WithAnswer(ledger.Answer{Body: make([]byte, 1<<10), Bytes: 1 << 10}), inputsAt(0))
		}
	}
	assert.Equal(t, last, ledger.OutcomeFull)
	assert.Equal(t, len(j.Records()), granted)
	_, last = decide(j, claim("0", "again", "i2"), inputsAt(time.Second))
	assert.Equal(t, last, ledger.OutcomeAnswered, "the body of the oldest answer is dropped, its record is kept")
	fresh := claim("new", "new", "i1")
	fresh.Until = start.Add(2 * time.Hour)
	_, last = decide(j, fresh, inputsAt(time.Hour))
	assert.Equal(t, last, ledger.OutcomeGranted, "expired records free their space")
}
