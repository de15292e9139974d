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

// RollOutOrder asks to move a roll-out of an environment.
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

// RollOut moves a roll-out by compare-and-swap and returns where it stands.
//
// The error is value.ChangeRefused, value.ChangeUnavailable or value.ChangeUnknown; a
// repeated order changes nothing once its aim is reached.
func RollOut(ctx context.Context, c Config, o RollOutOrder) (value.Progress, error) {
	sent := false
	pause := pauses
	for range writeTries {
		p, done, err := rollOut(ctx, c, o)
		if done {
			return p, err
		}
		sent = sent || errors.Is(err, plat.ErrUnknown)
		if err := clock.Wait(ctx, pause.Delay(clock.Random{})); err != nil {
			break
		}
		pause = pause.WithFailure()
	}
	if sent {
		return value.Progress{}, value.ChangeUnknown{Detail: "the key-value service gave no answer; the order may be repeated"}
	}
	return value.Progress{}, value.ChangeUnavailable{Detail: "the key-value service was not reached"}
}

// rollOut makes one attempt and reports whether it settled the order.
func rollOut(ctx context.Context, c Config, o RollOutOrder) (value.Progress, bool, error) {
	plan, present, err := readRollOut(ctx, c.Store, o)
	if err != nil {
		return value.Progress{}, fatal(err) != nil, err
	}
	was, err := positionOf(plan, present)
	if err != nil {
		return value.Progress{}, true, err
	}
	next, changed, err := steps.ApplyOrder(plan, was, o.Order, c.Now())
	if err != nil || !changed {
		return next, true, err
	}
	data, err := conf.EncodeProgress(next)
	if err != nil {
		return value.Progress{}, true, err
	}
	_, err = c.Store.Swap(ctx, plat.Swap{Key: present.Key, Expect: present.Revision, Value: data})
	return next, err == nil, err
}

// readRollOut returns the plan in the environment's document and the entry of its position.
func readRollOut(ctx context.Context, from plat.Reader, o RollOutOrder) (value.RollOut, plat.Entry, error) {
	record, err := conf.Load(ctx, from, o.Environment)
	if err != nil {
		return value.RollOut{}, plat.Entry{}, err
	}
	plan, err := planOf(record, o)
	if err != nil {
		return value.RollOut{}, plat.Entry{}, err
	}
	key := conf.RollOutKey(o.Environment, o.Name)
	entry, err := from.Get(ctx, key)
	if err != nil {
		return value.RollOut{}, plat.Entry{}, fmt.Errorf("read roll-out %s: %w", o.Name, err)
	}
	entry.Key = key
	return plan, entry, nil
}

func planOf(record conf.Record, o RollOutOrder) (value.RollOut, error) {
	unknown := value.ChangeRefused{
		Reason: value.ReasonUnknownRollOut,
		Detail: fmt.Sprintf("the document of %s has no roll-out %q", o.Environment, o.Name),
	}
	if record.Standing.Revision == 0 {
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

// positionOf returns where the roll-out stands, which is at its beginning while nothing is kept.
func positionOf(plan value.RollOut, e plat.Entry) (value.Progress, error) {
	if e.Revision == 0 {
		return steps.NewProgress(plan), nil
	}
	p, err := conf.DecodeProgress(e)
	if err != nil {
		return value.Progress{}, err
	}
	if p.Version != plan.ToKey() {
		// The name was used before for another version; the new plan begins after the old one's last epoch.
		fresh := steps.NewProgress(plan)
		fresh.Epoch = p.Epoch
		return fresh, nil
	}
	return p, nil
}

// RollOutRoute serves orders to roll-outs.
func RollOutRoute(c Config) route.Route {
	return route.New(http.MethodPost, rollOutPath, func(ctx context.Context, w wireRollOut) (wireProgress, error) {
		o := RollOutOrder{Environment: w.Environment, Name: w.Name, Order: steps.Order{Verb: w.Verb, Stage: w.Stage}}
		if !environmentPattern.MatchString(string(o.Environment)) {
			return wireProgress{}, route.BadRequest{Detail: "Environment must be 1 to 31 small letters, digits or '-'"}
		}
		p, err := RollOut(ctx, c, o)
		return wireProgress(p), err
	})
}

// SendRollOut sends the order to an instance.
func SendRollOut(ctx context.Context, to route.Client, o RollOutOrder) (value.Progress, error) {
	w := wireRollOut{Environment: o.Environment, Name: o.Name, Verb: o.Order.Verb, Stage: o.Order.Stage}
	p, err := route.Call[wireRollOut, wireProgress](ctx, to, http.MethodPost, rollOutPath, w)
	return value.Progress(p), route.Lost(err, "")
}
