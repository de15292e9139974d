package stage

import (
	"context"
	"errors"
	"fmt"
	"time"

	"endivehitch/core/cmds"
	"endivehitch/core/query"
	"endivehitch/core/value"
	"endivehitch/io/peer"
)

// methodRuns reports the attempts that an instance counted to the instance that evaluates the
// version.
var methodRuns = peer.Method[wireRuns, wireTaken]{Name: "Stage.Runs"}

// wireRuns holds the attempts of one version that an instance counted.
type wireRuns struct {
	Version value.VersionKey
	Total   int
	Failed  int
	Slow    int
	Costly  int
}

// wireTaken confirms a report.
type wireTaken struct {
	// Total is the number of attempts that were counted.
	Total int
}

const (
	// maxReportsPerSecond bounds the reports per version that its evaluating instance receives from
	// the whole fleet.
	maxReportsPerSecond = 100
	reportTimeout       = 2 * time.Second
)

// Register registers the method by which other instances report attempts.
func (c *Collector) Register(r peer.Registrar) error {
	if err := methodRuns.Serve(r, c.handleReport); err != nil {
		return fmt.Errorf("register method for attempt reports: %w", err)
	}
	return nil
}

// handleReport passes another instance's attempts to the control state.
func (c *Collector) handleReport(w wireRuns) (wireTaken, error) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	if err := c.config.Do(ctx, cmds.ObserveAttempts{Counts: []value.AttemptCounts{value.AttemptCounts(w)}}); err != nil {
		return wireTaken{}, err
	}
	return wireTaken{Total: w.Total}, nil
}

// reportAttempts reports each version's attempts to the instance that evaluates it, which is the
// owner of the version's hash slot. One sequential test thus counts the attempts of the whole fleet;
// separate tests at each instance would each need as many attempts, and their false alarms would
// add up.
func (c *Collector) reportAttempts(ctx context.Context) {
	for _, counts := range c.config.DrainCounts() {
		c.unsent[counts.Version] = c.unsent[counts.Version].WithCounts(counts)
	}
	for key, counts := range c.unsent {
		err := c.send(ctx, counts)
		if errors.Is(err, peer.ErrUnreachable) {
			// The counts stay in unsent for the next report. By then another instance may own the
			// version's hash slot.
			c.reportError(ctx, err)
			continue
		}
		// After any other error the report may have arrived. It is not sent again, because attempts
		// that are counted twice could cause a false alarm.
		c.reportError(ctx, err)
		delete(c.unsent, key)
	}
}

// send passes the attempts to the evaluating instance, which may be this one.
func (c *Collector) send(ctx context.Context, counts value.AttemptCounts) error {
	s := c.config.Snapshot()
	owner, ok := query.Owner(s, query.Slot(string(counts.Version)))
	if !ok || owner.ID == s.Self.ID || c.config.Caller == nil {
		return c.config.Do(ctx, cmds.ObserveAttempts{Counts: []value.AttemptCounts{counts}})
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if _, err := methodRuns.Call(ctx, c.config.Caller, owner, wireRuns(counts)); err != nil {
		return fmt.Errorf("report attempts of %s: %w", counts.Version, err)
	}
	return nil
}

// reportInterval returns the time between two reports, which grows with the number of live
// instances.
//
// It does not depend on the counts: if failures were reported earlier than successes, the test
// would overestimate the error rate.
func (c *Collector) reportInterval() time.Duration {
	instances := time.Duration(c.config.Snapshot().LiveInstances())
	return max(c.config.Interval, instances*time.Second/maxReportsPerSecond)
}
