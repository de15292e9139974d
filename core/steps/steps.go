package steps

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/looplab/fsm"

	"endivehitch/core/value"
)

// The events that move a roll-out on.
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
	// Why names the condition.
	Why string
}

// Error names the roll-out and the condition.
func (e NotDue) Error() string {
	return fmt.Sprintf("roll-out %s: next step is not due: %s", e.Name, e.Why)
}

// Seen is what the present stage has shown.
type Seen struct {
	// Ratings counts the new version's ratings in this stage.
	Ratings int
}

// Plan returns the position of a roll-out that has not begun.
func Plan(r value.RollOut) value.Progress {
	return value.Progress{Name: r.Name, Version: r.ToKey(), Phase: value.PhasePlanned}
}

// Start returns the position at the first stage.
func Start(r value.RollOut, p value.Progress, now time.Time) (value.Progress, error) {
	if len(r.Stages) == 0 {
		return p, fmt.Errorf("start roll-out %s: plan has no stages", r.Name)
	}
	phase, err := move(p, eventStart)
	if err != nil {
		return p, err
	}
	return p.WithStage(0, now).WithPhase(phase, "", now), nil
}

// Advance returns the position at the next stage, or the end; the error is NotDue while the stage's conditions are not met.
func Advance(r value.RollOut, p value.Progress, seen Seen, now time.Time) (value.Progress, error) {
	if p.Phase == value.PhaseStaged {
		if err := due(r, p, seen, now); err != nil {
			return p, err
		}
	}
	return Skip(r, p, now)
}

// Skip is Advance without the stage's conditions, on an operator's word.
func Skip(r value.RollOut, p value.Progress, now time.Time) (value.Progress, error) {
	last := p.Stage+1 >= len(r.Stages)
	event := eventAdvance
	if last {
		event = eventFinish
	}
	phase, err := move(p, event)
	if err != nil {
		return p, err
	}
	if last {
		return p.WithPhase(phase, "", now), nil
	}
	return p.WithStage(p.Stage+1, now), nil
}

// Withdraw returns the position after the new version has been withdrawn.
func Withdraw(p value.Progress, why value.Reason, now time.Time) (value.Progress, error) {
	phase, err := move(p, eventWithdraw)
	if err != nil {
		return p, err
	}
	return p.WithPhase(phase, string(why), now), nil
}

// Overdue reports whether the stage has lasted longer than its plan allows.
func Overdue(r value.RollOut, p value.Progress, now time.Time) bool {
	if p.Phase != value.PhaseStaged || p.Stage >= len(r.Stages) {
		return false
	}
	limit := r.Stages[p.Stage].MaxTime
	return limit > 0 && now.Sub(p.Since) > limit
}

func due(r value.RollOut, p value.Progress, seen Seen, now time.Time) error {
	if p.Stage >= len(r.Stages) {
		return nil
	}
	s := r.Stages[p.Stage]
	if left := s.MinTime - now.Sub(p.Since); left > 0 {
		return NotDue{Name: r.Name, Why: fmt.Sprintf("stage lasts another %v", left)}
	}
	if missing := s.MinRatings - seen.Ratings; missing > 0 {
		return NotDue{Name: r.Name, Why: fmt.Sprintf("stage needs another %d ratings", missing)}
	}
	return nil
}

// move asks the machine which phase follows.
func move(p value.Progress, event string) (value.Phase, error) {
	machine := fsm.NewFSM(string(p.Phase), events, fsm.Callbacks{})
	err := machine.Event(context.Background(), event)
	// An advance stays in the phase Staged, which the library reports as an error.
	var same fsm.NoTransitionError
	if err != nil && !errors.As(err, &same) {
		return p.Phase, fmt.Errorf("move roll-out %s: %w", p.Name, err)
	}
	return value.Phase(machine.Current()), nil
}
