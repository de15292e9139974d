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

// runsMethod is the method by which a version's watcher takes the runs that other instances counted.
var runsMethod = peer.Method[wireRuns, wireTaken]{Name: "Stage.Runs"}

// wireRuns is a count of runs on its way to the version's watcher.
type wireRuns struct {
	Version value.VersionKey
	Total   int
	Failed  int
	Slow    int
	Costly  int
}

// wireTaken is the watcher's reply.
type wireTaken struct {
	Total int
}

const (
	// reportsPerSecond bounds the reports that one watcher receives from the whole fleet.
	reportsPerSecond = 100
	reportTimeout    = 2 * time.Second
)

// Register takes in the runs that other instances report.
func (f *Feeder) Register(r peer.Registrar) error {
	if err := runsMethod.Serve(r, f.take); err != nil {
		return fmt.Errorf("offer watch: %w", err)
	}
	return nil
}

func (f *Feeder) take(w wireRuns) (wireTaken, error) {
	ctx, cancel := context.WithTimeout(context.Background(), reportTimeout)
	defer cancel()
	if err := f.config.Do(ctx, cmds.ObserveAttempts{Counts: []value.AttemptCounts{value.AttemptCounts(w)}}); err != nil {
		return wireTaken{}, err
	}
	return wireTaken{Total: w.Total}, nil
}

// gather brings each version's runs to its watcher, so that one test sees the runs of the whole
// fleet: tests at each instance would each need as many runs, and their false alarms would add up.
func (f *Feeder) gather(ctx context.Context) {
	for _, runs := range f.config.Drain() {
		f.unsent[runs.Version] = f.unsent[runs.Version].WithCounts(runs)
	}
	for k, runs := range f.unsent {
		err := f.send(ctx, runs)
		if errors.Is(err, peer.ErrUnreachable) {
			// Another instance will own the version's slot soon.
			f.report(ctx, err)
			continue
		}
		// Runs that may have been counted are not sent again: a run counted twice could raise a false alarm.
		f.report(ctx, err)
		delete(f.unsent, k)
	}
}

func (f *Feeder) send(ctx context.Context, runs value.AttemptCounts) error {
	s := f.config.Snapshot()
	owner, ok := query.Owner(s, query.Slot(string(runs.Version)))
	if !ok || owner.ID == s.Self.ID || f.config.Caller == nil {
		return f.config.Do(ctx, cmds.ObserveAttempts{Counts: []value.AttemptCounts{runs}})
	}
	ctx, cancel := context.WithTimeout(ctx, reportTimeout)
	defer cancel()
	if _, err := runsMethod.Call(ctx, f.config.Caller, owner, wireRuns(runs)); err != nil {
		return fmt.Errorf("report runs of %s: %w", runs.Version, err)
	}
	return nil
}

// pace returns the time between two reports, which grows with the fleet.
//
// It doesn't depend on what is reported: if failures came first, the test would see them too often.
func (f *Feeder) pace() time.Duration {
	fleet := time.Duration(f.config.Snapshot().LiveInstances())
	return max(f.config.Every, fleet*time.Second/reportsPerSecond)
}
