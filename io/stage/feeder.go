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

// FeederConfig configures a Feeder.
type FeederConfig struct {
	// Drain returns the attempts counted since its last call.
	Drain func() []value.AttemptCounts
	// Ratings is the rating service; nil means that there is none.
	Ratings plat.RatingService
	// Caller calls other instances; if it is nil, the instance evaluates only its own attempts.
	Caller peer.Caller
	// Snapshot returns the latest control state.
	Snapshot func() state.State
	// Do runs a command in the control loop.
	Do func(context.Context, Command) error
	// Failed is called with each error after which the feeder continues.
	Failed func(error)
	Now    func() time.Time
	// Every is the time between reads of the ratings, and the shortest time between reports of
	// attempts.
	Every time.Duration
}

// Feeder reports attempts to the instances that evaluate them, passes ratings to the control state
// and takes the due steps of roll-outs.
type Feeder struct {
	config FeederConfig
	// unsent holds the counts that have not been reported yet; only Run's goroutine accesses it.
	unsent map[value.VersionKey]value.AttemptCounts
}

// NewFeeder returns a feeder, or an error that names the missing setting.
func NewFeeder(config FeederConfig) (*Feeder, error) {
	switch {
	case config.Drain == nil:
		return nil, errors.New("feeder: Drain is not set")
	case config.Snapshot == nil:
		return nil, errors.New("feeder: Snapshot is not set")
	case config.Do == nil:
		return nil, errors.New("feeder: Do is not set")
	case config.Failed == nil:
		return nil, errors.New("feeder: Failed is not set")
	case config.Now == nil:
		return nil, errors.New("feeder: Now is not set")
	case config.Every <= 0:
		return nil, errors.New("feeder: Every must be positive")
	}
	return &Feeder{config: config, unsent: make(map[value.VersionKey]value.AttemptCounts)}, nil
}

// ratingsPerCommand bounds the ratings of one command, and with them the time for which it occupies
// the control loop. An instance that starts may read the ratings of a whole week at once.
const ratingsPerCommand = 256

// Run reads ratings and reports attempts until the context ends.
func (f *Feeder) Run(ctx context.Context) error {
	cursor := ""
	reported := f.config.Now()
	for clock.Passed(ctx, f.config.Every) {
		cursor = f.readRatings(ctx, cursor)
		if now := f.config.Now(); now.Sub(reported) >= f.reportInterval() {
			reported = now
			f.reportAttempts(ctx)
		}
	}
	return nil
}

// Step takes the roll-out steps that are due. One instance of the fleet does this at a time; a
// second one does no harm, because steps are idempotent.
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

// readRatings passes new ratings to the control state and returns the cursor after them, or the
// same cursor if they could not be read or passed on.
func (f *Feeder) readRatings(ctx context.Context, cursor string) string {
	if f.config.Ratings == nil {
		return cursor
	}
	entries, next, err := f.config.Ratings.Ratings(ctx, cursor)
	if err != nil {
		f.reportError(ctx, fmt.Errorf("read ratings: %w", err))
		return cursor
	}
	if len(entries) == 0 {
		return next
	}
	ratings := make([]value.Rating, len(entries))
	for i, r := range entries {
		ratings[i] = value.Rating{Kind: r.Kind, Version: r.Version, Accepted: r.Accepted, Rate: r.Rate, At: r.At}
	}
	for batch := range slices.Chunk(ratings, ratingsPerCommand) {
		if err := f.config.Do(ctx, cmds.ObserveRatings{Ratings: batch}); err != nil {
			// The control loop has ended, so the remaining batches would fail too.
			f.reportError(ctx, err)
			return cursor
		}
	}
	return next
}

// reportError passes on an error, unless the context has ended.
func (f *Feeder) reportError(ctx context.Context, err error) {
	if err != nil && ctx.Err() == nil {
		f.config.Failed(err)
	}
}
