package steps

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/looplab/fsm"

	"endivehitch/core/value"
)

// The events of the state machine.
const (
	eventStart    = "Start"
	eventAdvance  = "Advance"
	eventFinish   = "Finish"
	eventWithdraw = "Withdraw"
)

var (
	planned   = string(value.PhasePlanned)
	staged    = string(value.PhaseStaged)
	done      = string(value.PhaseDone)
	withdrawn = string(value.PhaseWithdrawn)
)

var events = fsm.Events{
	{Name: eventStart, Src: []string{planned}, Dst: staged},
	{Name: eventAdvance, Src: []string{staged}, Dst: staged},
	{Name: eventFinish, Src: []string{staged}, Dst: done},
	{Name: eventWithdraw, Src: []string{planned, staged, done}, Dst: withdrawn},
}

// NotDue is the error of a step whose conditions are not met yet.
type NotDue struct {
	Name value.RollOutName
	// Condition says what is missing.
	Condition string
}

// Error names the roll-out and the condition.
func (e NotDue) Error() string {
	return fmt.Sprintf("roll-out %s: next step is not due: %s", e.Name, e.Condition)
}

// StageMeasurements is what has been measured in the present stage.
type StageMeasurements struct {
	// Ratings counts the new version's ratings in this stage.
	Ratings int
}

// NewProgress returns the position of a roll-out that has not been started.
func NewProgress(r value.RollOut) value.Progress {
	return value.Progress{Name: r.Name, Version: r.ToKey(), Phase: value.PhasePlanned}
}

// Start returns the position at the first stage.
func Start(r value.RollOut, p value.Progress, now time.Time) (value.Progress, error) {
	if len(r.Stages) == 0 {
		return p, fmt.Errorf("start roll-out %s: plan has no stages", r.Name)
	}
	phase, err := phaseAfter(p, eventStart)
	if err != nil {
		return p, err
	}
	return p.WithStage(0, now).WithPhase(phase, "", now), nil
}

// Advance returns the position at the next stage or, after the last one, in phase Done. The error is
// NotDue while the present stage's conditions are not met.
func Advance(r value.RollOut, p value.Progress, measurements StageMeasurements, now time.Time) (value.Progress, error) {
	if p.Phase == value.PhaseStaged {
		if err := checkConditions(r, p, measurements, now); err != nil {
			return p, err
		}
	}
	return ForceAdvance(r, p, now)
}

// ForceAdvance is like Advance but does not check the stage's conditions, as an operator's order requires.
func ForceAdvance(r value.RollOut, p value.Progress, now time.Time) (value.Progress, error) {
	last := p.Stage+1 >= len(r.Stages)
	event := eventAdvance
	if last {
		event = eventFinish
	}
	phase, err := phaseAfter(p, event)
	if err != nil {
		return p, err
	}
	if last {
		return p.WithPhase(phase, "", now), nil
	}
	return p.WithStage(p.Stage+1, now), nil
}

// Withdraw returns the position after the new version has been withdrawn for the given reason.
func Withdraw(p value.Progress, reason value.Reason, now time.Time) (value.Progress, error) {
	phase, err := phaseAfter(p, eventWithdraw)
	if err != nil {
		return p, err
	}
	return p.WithPhase(phase, string(reason), now), nil
}

// IsOverdue reports whether the stage has lasted longer than its plan allows.
func IsOverdue(r value.RollOut, p value.Progress, now time.Time) bool {
	if p.Phase != value.PhaseStaged || p.Stage >= len(r.Stages) {
		return false
	}
	limit := r.Stages[p.Stage].MaxTime
	return limit > 0 && now.Sub(p.Since) > limit
}

func checkConditions(r value.RollOut, p value.Progress, measurements StageMeasurements, now time.Time) error {
	if p.Stage >= len(r.Stages) {
		return nil
	}
	stage := r.Stages[p.Stage]
	if remaining := stage.MinTime - now.Sub(p.Since); remaining > 0 {
		return NotDue{Name: r.Name, Condition: fmt.Sprintf("stage lasts another %v", remaining)}
	}
	if missing := stage.MinRatings - measurements.Ratings; missing > 0 {
		return NotDue{Name: r.Name, Condition: fmt.Sprintf("stage needs another %d ratings", missing)}
	}
	return nil
}

// phaseAfter returns the phase that the state machine enters on the event.
func phaseAfter(p value.Progress, event string) (value.Phase, error) {
	machine := fsm.NewFSM(string(p.Phase), events, fsm.Callbacks{})
	err := machine.Event(context.Background(), event)
	// An advance stays in the phase Staged, which the library reports as an error.
	var noTransition fsm.NoTransitionError
	if err != nil && !errors.As(err, &noTransition) {
		return p.Phase, fmt.Errorf("move roll-out %s: %w", p.Name, err)
	}
	return value.Phase(machine.Current()), nil
}
