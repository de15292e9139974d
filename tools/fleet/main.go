// Command fleet runs seven instances as processes on loopback before stand-ins, breaks them, and
// counts requests, answers, bills and effects.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"time"

	"endivehitch/core/value"
	"endivehitch/io/admin/cmds"
	"endivehitch/io/admin/route"
	"endivehitch/io/clock"
)

const (
	instances    = 7
	callers      = 12
	calmTime     = 8 * time.Second
	pauseTime    = 20 * time.Second
	outageTime   = 30 * time.Second
	recoveryTime = 15 * time.Second
)

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: fleet PROGRAM DOCUMENT")
		os.Exit(2)
	}
	whole, err := trial(ctx, os.Args[1], os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "fleet:", err)
		os.Exit(1)
	}
	if !whole {
		os.Exit(1)
	}
}

// trial runs the whole course and reports whether nothing was lost or doubled.
func trial(ctx context.Context, program, document string) (bool, error) {
	s, err := newStand(document)
	if err != nil {
		return false, err
	}
	defer s.close()
	f, err := startFleet(ctx, program, s)
	if err != nil {
		return false, err
	}
	defer f.killAll()
	if err := f.apply(ctx, s.document, 0); err != nil {
		return false, err
	}
	if err := f.awaitReady(ctx); err != nil {
		return false, err
	}
	d := newDrive(f)
	d.start(ctx)
	if err := course(ctx, f, s); err != nil {
		return false, err
	}
	d.stop()
	if err := f.leave(); err != nil {
		return false, err
	}
	return audit(ctx, s, d)
}

// course breaks the fleet while callers go on.
func course(ctx context.Context, f *fleet, s *stand) error {
	say("%d instances serve", instances)
	clock.Passed(ctx, calmTime)
	say("kill -9 of %s; a new instance takes its place", f.name(0))
	if err := f.replace(ctx, 0); err != nil {
		return err
	}
	clock.Passed(ctx, calmTime)
	say("SIGSTOP of %s for %s", f.name(1), pauseTime)
	if err := f.freeze(1); err != nil {
		return err
	}
	clock.Passed(ctx, pauseTime)
	if err := f.thaw(1); err != nil {
		return err
	}
	say("the platform's key-value service is down for %s", outageTime)
	if err := s.setDown(true); err != nil {
		return err
	}
	clock.Passed(ctx, outageTime)
	if err := s.setDown(false); err != nil {
		return err
	}
	say("a new configuration")
	if err := f.apply(ctx, append(s.document, "# Second edition.\n"...), f.revision); err != nil {
		return err
	}
	clock.Passed(ctx, recoveryTime)
	return nil
}

// apply sends the document to an instance until one takes it.
func (f *fleet) apply(ctx context.Context, document []byte, expect int64) error {
	order := cmds.ApplyOrder{Environment: environment, Change: value.ChangeID(fmt.Sprint("change-", expect)), Expect: expect, Document: document}
	var last error
	for range applyTries {
		applied, err := cmds.SendApply(ctx, route.Client{Base: f.operator(instances - 1), Key: operatorKey, HTTP: quickClient}, order)
		if err == nil {
			f.revision = applied.Revision
			return nil
		}
		last = err
		clock.Passed(ctx, time.Second)
	}
	return fmt.Errorf("apply document: %w", last)
}

func say(format string, args ...any) {
	fmt.Printf("%s == "+format+"\n", append([]any{time.Now().Format(time.TimeOnly)}, args...)...)
}
