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
	rule  = ledger.Rule{Keep: time.Hour, Wait: 10 * time.Second, Bytes: 8 << 10, AnswerBytes: 1 << 10}
)

func at(d time.Duration, gone ...value.InstanceID) ledger.Setting {
	return ledger.Setting{Now: start.Add(d), Gone: func(id value.InstanceID) bool {
		for _, g := range gone {
			if g == id {
				return true
			}
		}
		return false
	}}
}

func claim(key, token string, holder value.InstanceID) ledger.Op {
	return ledger.Op{
		Verb: ledger.VerbClaim, ID: ledger.NewCallID("ward-12", value.IdempotencyKey(key)),
		Kind: "reorder", Question: 7, Token: token, Holder: holder, Until: start.Add(time.Minute),
	}
}

// decide applies one operation and returns the next journal and the outcome.
func decide(j ledger.Journal, op ledger.Op, s ledger.Setting) (ledger.Journal, ledger.Outcome) {
	next, v, _ := j.Decide([]ledger.Op{op}, rule, s)
	return next, v[0].Outcome
}

func TestCallIDsDoNotMeet(t *testing.T) {
	assert.Assert(t, ledger.NewCallID("a", "bc") != ledger.NewCallID("ab", "c"))
	assert.Assert(t, ledger.NewCallID("1", "1:x") != ledger.NewCallID("11", ":x"))
	assert.Assert(t, ledger.NewCallID("a", "\xff") != ledger.NewCallID("a", "\xfe"))
}

func TestSecondTryNeverRuns(t *testing.T) {
	first := claim("k", "t1", "i1")
	second := claim("k", "t2", "i2")
	answer := ledger.Answer{Status: 200, Body: []byte("done"), Bytes: 4}
	for _, c := range []struct {
		name string
		ops  []ledger.Op
		at   ledger.Setting
		want ledger.Outcome
	}{
		{"running", nil, at(time.Second), ledger.OutcomeRunning},
		{"running, deadline not long past", nil, at(69 * time.Second), ledger.OutcomeRunning},
		{"deadline long past", nil, at(70 * time.Second), ledger.OutcomeUnknown},
		{"holder just gone", nil, at(9*time.Second, "i1"), ledger.OutcomeRunning},
		{"holder gone", nil, at(10*time.Second, "i1"), ledger.OutcomeUnknown},
		{"finished", []ledger.Op{first.WithAnswer(answer)}, at(time.Second), ledger.OutcomeAnswered},
		{"doubted", []ledger.Op{first.WithVerb(ledger.VerbDoubt)}, at(time.Second), ledger.OutcomeUnknown},
		{"doubted and finished after all", []ledger.Op{first.WithVerb(ledger.VerbDoubt), first.WithAnswer(answer)}, at(time.Second), ledger.OutcomeAnswered},
		{"finished and released by mistake", []ledger.Op{first.WithAnswer(answer), first.WithVerb(ledger.VerbRelease)}, at(time.Second), ledger.OutcomeAnswered},
		{"released by a stranger", []ledger.Op{second.WithVerb(ledger.VerbRelease)}, at(time.Second), ledger.OutcomeRunning},
		{"released", []ledger.Op{first.WithVerb(ledger.VerbRelease)}, at(time.Second), ledger.OutcomeGranted},
	} {
		j, got := decide(ledger.Journal{}, first, at(0))
		assert.Equal(t, got, ledger.OutcomeGranted, c.name)
		j, _, _ = j.Decide(c.ops, rule, at(time.Second))
		second.Until = c.at.Now.Add(time.Minute)
		_, got = decide(j, second, c.at)
		assert.Equal(t, got, c.want, c.name)
	}
}

func TestAnotherQuestionUnderTheSameKeyIsRefused(t *testing.T) {
	j, _ := decide(ledger.Journal{}, claim("k", "t1", "i1"), at(0))
	other := claim("k", "t2", "i1")
	other.Question = 8
	_, got := decide(j, other, at(0))
	assert.Equal(t, got, ledger.OutcomeReused)
}

func TestAClaimThatArrivesAfterItsReleaseIsNotGranted(t *testing.T) {
	c := claim("k", "t1", "i1")
	j, _ := decide(ledger.Journal{}, c, at(0))
	j, _ = decide(j, c.WithVerb(ledger.VerbRelease), at(0))
	_, got := decide(j, c, at(time.Second))
	assert.Equal(t, got, ledger.OutcomeLate)
	_, got = decide(ledger.Journal{}, c, at(time.Minute))
	assert.Equal(t, got, ledger.OutcomeLate, "its deadline has passed")
}

func TestAnAnswerTooLargeKeepsItsDigest(t *testing.T) {
	c := claim("k", "t1", "i1")
	j, _ := decide(ledger.Journal{}, c, at(0))
	j, _ = decide(j, c.WithAnswer(ledger.Answer{Body: make([]byte, 2<<10), Digest: "d", Bytes: 2 << 10}), at(0))
	r, ok := j.Get(c.ID)
	assert.Assert(t, ok)
	assert.Assert(t, !r.Answer.Whole())
	assert.Equal(t, r.Answer.Digest, "d")
}

// TestJournalHoldsItsPromises drives random operations and checks that no call is granted twice
// without a release between, that the bytes are bounded and that no running claim is forgotten.
func TestJournalHoldsItsPromises(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var j ledger.Journal
		var now time.Duration
		var gone []value.InstanceID
		open := map[ledger.CallID]ledger.Op{}
		settledAt := map[ledger.CallID]time.Duration{}
		for i := range rapid.IntRange(1, 60).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 400).Draw(t, "seconds")) * time.Second
			s := at(now, gone...)
			op := claim(fmt.Sprint(rapid.IntRange(0, 12).Draw(t, "key")), fmt.Sprint(i), "i1")
			op.Until = s.Now.Add(30 * time.Second)
			held, isOpen := open[op.ID]
			verb := rapid.SampledFrom([]ledger.Verb{ledger.VerbClaim, ledger.VerbClaim, ledger.VerbFinish, ledger.VerbDoubt, ledger.VerbRelease}).Draw(t, "verb")
			if verb != ledger.VerbClaim {
				body := make([]byte, rapid.IntRange(0, 1500).Draw(t, "body"))
				op = held.WithAnswer(ledger.Answer{Body: body, Bytes: len(body)}).WithVerb(verb)
			}
			next, got := decide(j, op, s)
			assert.Assert(t, next.Size() <= rule.Bytes)
			if got == ledger.OutcomeGranted {
				since, settled := settledAt[op.ID]
				assert.Assert(t, !isOpen || (settled && now-since >= rule.Keep), "granted twice")
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
					if _, seen := settledAt[id]; !seen {
						settledAt[id] = now
					}
				} else if !ok {
					assert.Assert(t, now-settledAt[id] >= rule.Keep && settledAt[id] > 0, "forgot %s", id)
				}
			}
			j = next
		}
	})
}

func TestFullJournalRefusesInsteadOfForgetting(t *testing.T) {
	var j ledger.Journal
	var last ledger.Outcome
	granted := 0
	for i := range 100 {
		c := claim(fmt.Sprint(i), fmt.Sprint(i), "i1")
		j, last = decide(j, c, at(0))
		if last == ledger.OutcomeGranted {
			granted++
			j, _ = decide(j, c.WithAnswer(ledger.Answer{Body: make([]byte, 1<<10), Bytes: 1 << 10}), at(0))
		}
	}
	assert.Equal(t, last, ledger.OutcomeFull)
	assert.Equal(t, len(j.Records()), granted)
	_, last = decide(j, claim("0", "again", "i2"), at(time.Second))
	assert.Equal(t, last, ledger.OutcomeAnswered, "the oldest answer gave way, its record did not")
	fresh := claim("new", "new", "i1")
	fresh.Until = start.Add(2 * time.Hour)
	_, last = decide(j, fresh, at(time.Hour))
	assert.Equal(t, last, ledger.OutcomeGranted, "records past their keeping make room")
}
