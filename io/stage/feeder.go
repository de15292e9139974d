package stage

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"time"

	"endivehitch/core/cmds"
	"endivehitch/core/query"
	"endivehitch/core/state"
	"endivehitch/core/value"
	"endivehitch/io/clock"
	"endivehitch/io/peer"
	"endivehitch/io/plat"
)

// FeederConfig sets up a Feeder.
type FeederConfig struct {
	// Drain returns the runs counted since its last call.
	Drain func() []value.AttemptCounts
	// Ratings may be nil where there is no rating service.
	Ratings plat.RatingService
	// Caller reaches the other instances; without one the instance watches its own runs only.
	Caller   peer.Caller
	Snapshot func() state.State
	// Do applies a command to the control state.
	Do func(context.Context, Command) error
	// Failed takes the errors after which the feeder goes on.
	Failed func(error)
	Now    func() time.Time
	// Every is the time between two looks at runs and ratings.
	Every time.Duration
}

// Feeder brings runs and ratings to the control state and takes the due steps of roll-outs.
type Feeder struct {
	config FeederConfig
	// unsent holds the runs that have not reached their watcher; Run's goroutine owns it.
	unsent map[value.VersionKey]value.AttemptCounts
}

// NewFeeder returns a feeder, or an error that names what the configuration lacks.
func NewFeeder(c FeederConfig) (*Feeder, error) {
	switch {
	case c.Drain == nil:
		return nil, errors.New("feeder: no runs")
	case c.Snapshot == nil:
		return nil, errors.New("feeder: no snapshot")
	case c.Do == nil:
		return nil, errors.New("feeder: no control loop")
	case c.Failed == nil:
		return nil, errors.New("feeder: no one to tell of failures")
	case c.Now == nil:
		return nil, errors.New("feeder: no clock")
	case c.Every <= 0:
		return nil, errors.New("feeder: no time between looks")
	}
	return &Feeder{config: c, unsent: make(map[value.VersionKey]value.AttemptCounts)}, nil
}

// ratingsAtOnce bounds how long one batch keeps the control loop, also when an instance that starts
// reads the ratings of a whole week.
const ratingsAtOnce = 256

// Run feeds until the context ends.
func (f *Feeder) Run(ctx context.Context) error {
	cursor := ""
	reported := f.config.Now()
	for clock.Passed(ctx, f.config.Every) {
		cursor = f.feedRatings(ctx, cursor)
		if now := f.config.Now(); now.Sub(reported) >= f.pace() {
			reported = now
			f.gather(ctx)
		}
	}
	return nil
}

// Step takes the steps that are due; one instance does it at a time, and a second one does no harm,
// because a repeated step changes nothing.
func (f *Feeder) Step(ctx context.Context) error {
	for _, d := range query.Due(f.config.Snapshot(), f.config.Now()) {
		var c Command = cmds.AdvanceRollOut{Name: d.RollOut, Stage: d.Stage}
		if d.Withdraw != "" {
			c = cmds.WithdrawVersion{Version: d.Withdraw, Reason: d.Reason}
		}
		if err := f.config.Do(ctx, c); err != nil {
			return fmt.Errorf("take step of roll-out %s: %w", d.RollOut, err)
		}
	}
	return nil
}

// feedRatings returns the cursor after what was read, or the same one while the service is away.
func (f *Feeder) feedRatings(ctx context.Context, cursor string) string {
	if f.config.Ratings == nil {
		return cursor
	}
	list, next, err := f.config.Ratings.Ratings(ctx, cursor)
	if err != nil {
		f.report(ctx, fmt.Errorf("read ratings: %w", err))
		return cursor
	}
	if len(list) == 0 {
		return next
	}
	ratings := make([]value.Rating, len(list))
	for i, r := range list {
		ratings[i] = value.Rating{Kind: r.Kind, Version: r.Version, Accepted: r.Accepted, Rate: r.Rate, At: r.At}
	}
	for part := range slices.Chunk(ratings, ratingsAtOnce) {
		if err := f.config.Do(ctx, cmds.ObserveRatings{Ratings: part}); err != nil {
			// The control loop has ended: there is no one left to tell of the rest.
			f.report(ctx, err)
			return cursor
		}
	}
	return next
}

func (f *Feeder) report(ctx context.Context, err error) {
	if err != nil && ctx.Err() == nil {
		f.config.Failed(err)
	}
}
