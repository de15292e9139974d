package cmds

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"endivehitch/core/steps"
	"endivehitch/core/value"
	"endivehitch/io/admin/route"
	"endivehitch/io/clock"
	"endivehitch/io/conf"
	"endivehitch/io/plat"
)

// RollOutOrder asks to start, advance or withdraw a roll-out of an environment.
type RollOutOrder struct {
	Environment value.Environment
	Name        value.RollOutName
	Order       steps.Order
}

type wireRollOut struct {
	Environment value.Environment
	Name        value.RollOutName
	Verb        steps.Verb
	Stage       int
}

type wireProgress struct {
	Name    value.RollOutName
	Version value.VersionKey
	Epoch   int64
	Phase   value.Phase
	Stage   int
	Since   time.Time
	Reason  string
}

const rollOutPath = "/admin/rollout"

// RollOut carries out the order and returns the roll-out's progress after it.
//
// An order whose aim is already reached changes nothing, so that it may be retried. The error is
// value.ChangeRefused, value.ChangeUnavailable or value.ChangeUnknown.
func RollOut(ctx context.Context, c Config, o RollOutOrder) (value.Progress, error) {
	maybeSent := false
	backoff := retryBackoff
	for range maxAttempts {
		progress, done, err := attemptRollOut(ctx, c, o)
		if done {
			return progress, err
		}
		maybeSent = maybeSent || errors.Is(err, plat.ErrUnknown)
		if err := clock.Wait(ctx, backoff.Delay(clock.Random{})); err != nil {
			break
		}
		backoff = backoff.WithFailure()
	}
	if maybeSent {
		return value.Progress{}, value.ChangeUnknown{Detail: "the key-value service gave no answer; the order may be repeated"}
	}
	return value.Progress{}, value.ChangeUnavailable{Detail: "the key-value service was not reached"}
}

// attemptRollOut makes one attempt and reports whether its result is final, so that no further one
// is needed.
func attemptRollOut(ctx context.Context, c Config, o RollOutOrder) (value.Progress, bool, error) {
	plan, entry, err := readRollOut(ctx, c.Store, o)
	if err != nil {
		return value.Progress{}, toRefusal(err) != nil, err
	}
	progress, err := progressOf(plan, entry)
	if err != nil {
		return value.Progress{}, true, err
	}
	next, changed, err := steps.ApplyOrder(plan, progress, o.Order, c.Now())
	if err != nil || !changed {
		return next, true, err
	}
	data, err := conf.EncodeProgress(next)
	if err != nil {
		return value.Progress{}, true, err
	}
	_, err = c.Store.Swap(ctx, plat.Swap{Key: entry.Key, Expect: entry.Revision, Value: data})
	return next, err == nil, err
}

// readRollOut returns the roll-out's plan from the environment's document and the entry that stores
// its progress.
func readRollOut(ctx context.Context, reader plat.Reader, o RollOutOrder) (value.RollOut, plat.Entry, error) {
	record, err := conf.LoadRecord(ctx, reader, o.Environment)
	if err != nil {
		return value.RollOut{}, plat.Entry{}, err
	}
	plan, err := findPlan(record, o)
	if err != nil {
		return value.RollOut{}, plat.Entry{}, err
	}
	key := conf.RollOutKey(o.Environment, o.Name)
	entry, err := reader.Get(ctx, key)
	if err != nil {
		return value.RollOut{}, plat.Entry{}, fmt.Errorf("read roll-out %s: %w", o.Name, err)
	}
	entry.Key = key
	return plan, entry, nil
}

func findPlan(record conf.Record, o RollOutOrder) (value.RollOut, error) {
	unknown := value.ChangeRefused{
		Reason: value.ReasonUnknownRollOut,
		Detail: fmt.Sprintf("the document of %s has no roll-out %q", o.Environment, o.Name),
	}
	if record.Current.Revision == 0 {
		return value.RollOut{}, unknown
	}
	accepted, err := record.Accepted()
	if err != nil {
		return value.RollOut{}, err
	}
	for _, r := range accepted.Document.RollOuts {
		if r.Name == o.Name {
			return r, nil
		}
	}
	return value.RollOut{}, unknown
}

// progressOf returns the roll-out's stored progress, or that of a planned roll-out if none is
// stored.
func progressOf(plan value.RollOut, e plat.Entry) (value.Progress, error) {
	if e.Revision == 0 {
		return steps.NewProgress(plan), nil
	}
	progress, err := conf.DecodeProgress(e)
	if err != nil {
		return value.Progress{}, err
	}
	if progress.Version != plan.ToKey() {
		// An earlier roll-out of this name was about another version. The new one goes on from its
		// epoch, so that epochs under this name only increase.
		initial := steps.NewProgress(plan)
		initial.Epoch = progress.Epoch
		return initial, nil
	}
	return progress, nil
}

// RollOutRoute returns the route that serves RollOut.
func RollOutRoute(c Config) route.Route {
	return route.New(http.MethodPost, rollOutPath, func(ctx context.Context, w wireRollOut) (wireProgress, error) {
		o := RollOutOrder{Environment: w.Environment, Name: w.Name, Order: steps.Order{Verb: w.Verb, Stage: w.Stage}}
		if !environmentPattern.MatchString(string(o.Environment)) {
			return wireProgress{}, route.BadRequest{Detail: "Environment must be 1 to 31 small letters, digits or '-'"}
		}
		progress, err := RollOut(ctx, c, o)
		return wireProgress(progress), err
	})
}

// SendRollOut sends the order to an instance.
func SendRollOut(ctx context.Context, to route.Client, o RollOutOrder) (value.Progress, error) {
	w := wireRollOut{Environment: o.Environment, Name: o.Name, Verb: o.Order.Verb, Stage: o.Order.Stage}
	progress, err := route.Call[wireRollOut, wireProgress](ctx, to, http.MethodPost, rollOutPath, w)
	return value.Progress(progress), route.UnknownIfUnanswered(err, "")
}
