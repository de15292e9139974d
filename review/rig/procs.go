package main

import (
	"fmt"
	"os"
	"os/exec"
	"os/signal"
	"sync"
	"syscall"
	"time"
)

// maxPlayTime is the time after which a case is given up.
const maxPlayTime = 110 * time.Second

// processes are those that the case has started; all are killed at its end.
type processes struct {
	mu      sync.Mutex
	started []*exec.Cmd
}

// start starts the process.
func (p *processes) start(cmd *exec.Cmd) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	if err := cmd.Start(); err != nil {
		return fmt.Errorf("start %s: %w", cmd.Path, err)
	}
	p.started = append(p.started, cmd)
	return nil
}

// kill kills one process and waits for its end.
func (p *processes) kill(cmd *exec.Cmd) {
	p.mu.Lock()
	defer p.mu.Unlock()
	end(cmd)
}

// stop kills all processes.
func (p *processes) stop() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, cmd := range p.started {
		end(cmd)
	}
	p.started = nil
}

func end(cmd *exec.Cmd) {
	// Both fail only if the process has ended and was waited for.
	_ = cmd.Process.Kill()
	_, _ = cmd.Process.Wait()
}

// stopWhenGivenUp kills all processes and exits if the case takes too long or is interrupted.
func (p *processes) stopWhenGivenUp() {
	interrupted := make(chan os.Signal, 1)
	signal.Notify(interrupted, os.Interrupt, syscall.SIGTERM)
	go func() {
		select {
		case <-interrupted:
		case <-time.After(maxPlayTime):
		}
		p.stop()
		fmt.Fprintln(os.Stderr, "rig: the case was given up")
		os.Exit(exitNotRun)
	}()
}
