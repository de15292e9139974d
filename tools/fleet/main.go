// Command fleet runs seven instances as processes on loopback and injects faults while callers send
// requests: it kills, replaces and suspends instances, makes the key-value store unreachable and
// changes the configuration. Stand-ins serve as the platform and the backend servers.
//
// Afterwards it compares requests, answers, bills and effects, and exits with 1 if any was lost or
// duplicated. The loadGenerator holds the callers, the fleet the processes, standIns the stand-ins.
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
	steadyTime   = 8 * time.Second
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
	passed, err := runTrial(ctx, os.Args[1], os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, "fleet:", err)
		os.Exit(1)
	}
	if !passed {
		os.Exit(1)
	}
}

// runTrial runs the fleet from start to shutdown and reports whether the audit found nothing lost or
// duplicated.
func runTrial(ctx context.Context, program, document string) (bool, error) {
	standIns, err := newStandIns(document)
	if err != nil {
		return false, err
	}
	defer standIns.close()
	instanceFleet, err := startFleet(ctx, program, standIns)
	if err != nil {
		return false, err
	}
	defer instanceFleet.killAll()
	if err := instanceFleet.apply(ctx, standIns.document, 0); err != nil {
		return false, err
	}
	if err := instanceFleet.awaitReady(ctx); err != nil {
		return false, err
	}
	load := newLoadGenerator(instanceFleet)
	load.start(ctx)
	if err := injectFaults(ctx, instanceFleet, standIns); err != nil {
		return false, err
	}
	load.stop()
	if err := instanceFleet.shutDown(); err != nil {
		return false, err
	}
	return audit(ctx, standIns, load)
}

// injectFaults injects one fault after the other while callers send requests.
func injectFaults(ctx context.Context, f *fleet, standIns *standIns) error {
	logProgress("%d instances are ready", instances)
	clock.WaitFully(ctx, steadyTime)
	logProgress("kill -9 of %s; starting a new instance in its place", f.idOf(0))
	if err := f.replace(ctx, 0); err != nil {
		return err
	}
	clock.WaitFully(ctx, steadyTime)
	logProgress("SIGSTOP of %s for %s", f.idOf(1), pauseTime)
	if err := f.suspend(1); err != nil {
		return err
	}
	clock.WaitFully(ctx, pauseTime)
	if err := f.resume(1); err != nil {
		return err
	}
	logProgress("the platform's key-value store is down for %s", outageTime)
	if err := standIns.setStoreDown(true); err != nil {
		return err
	}
	clock.WaitFully(ctx, outageTime)
	if err := standIns.setStoreDown(false); err != nil {
		return err
	}
	logProgress("applying a new configuration")
	if err := f.apply(ctx, append(standIns.document, "# Second edition.\n"...), f.revision); err != nil {
		return err
	}
	clock.WaitFully(ctx, recoveryTime)
	return nil
}

// apply sends the document to the last instance. It retries until the document is applied, up to
// maxApplyTries times.
func (f *fleet) apply(ctx context.Context, document []byte, expect int64) error {
	order := cmds.ApplyOrder{Environment: environment, Change: value.ChangeID(fmt.Sprint("change-", expect)), Expect: expect, Document: document}
	var lastErr error
	for range maxApplyTries {
		applied, err := cmds.SendApply(ctx, route.Client{Base: f.operatorURL(instances - 1), Key: operatorKey, HTTP: httpClient}, order)
		if err == nil {
			f.revision = applied.Revision
			return nil
		}
		lastErr = err
		clock.WaitFully(ctx, time.Second)
	}
	return fmt.Errorf("apply document: %w", lastErr)
}

func logProgress(format string, args ...any) {
	fmt.Printf("%s == "+format+"\n", append([]any{time.Now().Format(time.TimeOnly)}, args...)...)
}
