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

// CollectorConfig configures a Collector.
type CollectorConfig struct {
	// DrainCounts returns the attempts counted since its last call.
	DrainCounts func() []value.AttemptCounts
	// Ratings is the rating service; nil means that there is none.
	Ratings plat.RatingService
	// Caller calls other instances; if it is nil, the instance evaluates only its own attempts.
	Caller peer.Caller
	// Snapshot returns the latest control state.
	Snapshot func() state.State
	// Do runs a command in the control loop.
	Do func(context.Context, Command) error
	// ReportError is called with each error after which the collector continues.
	ReportError func(error)
	Now         func() time.Time
	// Interval is the time between reads of the ratings, and the shortest time between reports of
	// attempts.
	Interval time.Duration
}

// Collector reports attempts to the instances that evaluate them, passes ratings to the control
// state and takes the due steps of roll-outs.
type Collector struct {
	config CollectorConfig
	// unsent holds the counts that have not been reported yet; only Run's goroutine accesses it.
	unsent map[value.VersionKey]value.AttemptCounts
}

// NewCollector returns a collector, or an error that names the missing setting.
func NewCollector(config CollectorConfig) (*Collector, error) {
	switch {
	case config.DrainCounts == nil:
		return nil, errors.New("collector: DrainCounts is not set")
	case config.Snapshot == nil:
		return nil, errors.New("collector: Snapshot is not set")
	case config.Do == nil:
		return nil, errors.New("collector: Do is not set")
	case config.ReportError == nil:
		return nil, errors.New("collector: ReportError is not set")
	case config.Now == nil:
		return nil, errors.New("collector: Now is not set")
	case config.Interval <= 0:
		return nil, errors.New("collector: Interval must be positive")
	}
	return &Collector{config: config, unsent: make(map[value.VersionKey]value.AttemptCounts)}, nil
}

// ratingsPerCommand bounds the ratings of one command, and with them the time for which it occupies
// the control loop. An instance that starts may read the ratings of a whole week at once.
const ratingsPerCommand = 256

// Run reads ratings and reports attempts until the context ends.
func (c *Collector) Run(ctx context.Context) error {
	cursor := ""
	reported := c.config.Now()
	for clock.WaitFully(ctx, c.config.Interval) {
		cursor = c.readRatings(ctx, cursor)
		if now := c.config.Now(); now.Sub(reported) >= c.reportInterval() {
			reported = now
			c.reportAttempts(ctx)
		}
	}
	return nil
}

// TakeDueSteps takes the roll-out steps that are due. One instance of the fleet does this at a
// time; a second one does no harm, because steps are idempotent.
func (c *Collector) TakeDueSteps(ctx context.Context) error {
	for _, d := range query.DueSteps(c.config.Snapshot(), c.config.Now()) {
		var command Command = cmds.AdvanceRollOut{Name: d.RollOut, Stage: d.Stage}
		if d.Withdraw != "" {
			command = cmds.WithdrawVersion{Version: d.Withdraw, Reason: d.Reason}
		}
		if err := c.config.Do(ctx, command); err != nil {
			return fmt.Errorf("take step of roll-out %s: %w", d.RollOut, err)
		}
	}
	return nil
}

// readRatings passes new ratings to the control state and returns the cursor after them, or the
// same cursor if they could not be read or passed on.
func (c *Collector) readRatings(ctx context.Context, cursor string) string {
	if c.config.Ratings == nil {
		return cursor
	}
	entries, next, err := c.config.Ratings.Ratings(ctx, cursor)
	if err != nil {
		c.reportError(ctx, fmt.Errorf("read ratings: %w", err))
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
		if err := c.config.Do(ctx, cmds.ObserveRatings{Ratings: batch}); err != nil {
			// The control loop has ended, so the remaining batches would fail too.
			c.reportError(ctx, err)
			return cursor
		}
	}
	return next
}

// reportError passes on an error, unless the context has ended.
func (c *Collector) reportError(ctx context.Context, err error) {
	if err != nil && ctx.Err() == nil {
		c.config.ReportError(err)
	}
}
