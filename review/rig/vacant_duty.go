package main

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// The rounds of the case of the vacant duty. The instances learn at different times that the duty is vacant, so that the pause
// between the stops varies.
const (
	dutyRounds      = 12
	dutyInstances   = 3
	grace           = 8 * time.Second
	dutyTime        = 2 * time.Second
	minStopPause    = 240 * time.Millisecond
	stopPauseStep   = 40 * time.Millisecond
	stopPauses      = 5
	maxBusy         = 2 * time.Second
	ticksPerSecond  = 100
	userTimeField   = 11
	systemTimeField = 12
)

// playVacantDuty stops the instance that runs a roll-out, and the others a moment later, and looks for a process that neither
// ends nor hands back the processor.
func playVacantDuty(p *play) (int, error) {
	for round := range dutyRounds {
		pause := minStopPause + time.Duration(round%stopPauses)*stopPauseStep
		hung, err := stopDuringRollOut(p, pause)
		if err != nil || hung > 0 {
			return hung, err
		}
	}
	return 0, nil
}

func stopDuringRollOut(p *play, pause time.Duration) (int, error) {
	s, err := startStore()
	if err != nil {
		return 0, err
	}
	defer s.close()
	defer p.processes.stop()
	s.put(words.Config, operatorConfig())
	s.put("servers/i-1", serverEntry(desk, loopback(9), zones[0], plainSlots, time.Now(), 1))
	f, err := startFleet(p, s, dutyInstances)
	if err != nil {
		return 0, err
	}
	if p.trouble {
		s.put("op/rollout/"+desk, object{"backend": desk, "target": "v2", "durationS": 16})
		p.record.note("a roll-out is ordered")
	}
	wait(dutyTime)
	holder := s.value("endivehitch/duties/" + desk)
	p.record.note("the duty is held by %q; stops %v apart", holder, pause)
	stopped, others := f.edges[:1], f.edges[1:]
	for i, e := range f.edges {
		if strings.Contains(holder, `"`+e.name+`"`) {
			stopped, others = []*edge{e}, append(append([]*edge(nil), f.edges[:i]...), f.edges[i+1:]...)
		}
	}
	if err := terminate(p, stopped); err != nil {
		return 0, err
	}
	wait(pause)
	if err := terminate(p, others); err != nil {
		return 0, err
	}
	return countHung(p, f.edges)
}

func terminate(p *play, edges []*edge) error {
	for _, e := range edges {
		if err := e.cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return fmt.Errorf("stop %s: %w", e.name, err)
		}
		p.record.note("%s gets SIGTERM", e.name)
	}
	return nil
}

// countHung counts the processes that last until the end of the grace time and keep the processor busy. No request is sent, so
// that each should end some seconds earlier.
func countHung(p *play, edges []*edge) (int, error) {
	deadline := time.Now().Add(grace)
	for time.Now().Before(deadline) && countRunning(edges) > 0 {
		wait(100 * time.Millisecond)
	}
	hung := 0
	for _, e := range edges {
		busy, isRunning := processorTime(e.cmd.Process.Pid)
		p.record.note("%s: still running %t, processor time %v", e.name, isRunning, busy)
		if isRunning && busy > maxBusy {
			hung++
		}
	}
	return hung, nil
}

func countRunning(edges []*edge) int {
	n := 0
	for _, e := range edges {
		if _, isRunning := processorTime(e.cmd.Process.Pid); isRunning {
			n++
		}
	}
	return n
}

// processorTime returns the processor time that a process has used, and whether it has not ended.
func processorTime(pid int) (time.Duration, bool) {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return 0, false
	}
	// The name before the closing parenthesis may contain spaces.
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	if len(fields) <= systemTimeField || fields[0] == "Z" {
		return 0, false
	}
	user, _ := strconv.Atoi(fields[userTimeField])
	system, _ := strconv.Atoi(fields[systemTimeField])
	return time.Duration(user+system) * time.Second / ticksPerSecond, true
}
