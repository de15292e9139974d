// Command rig plays the cases of review/REPORT-2.md: it starts instances of the router as processes on loopback addresses,
// with stand-ins for the platform's store, the backend servers and the callers, and checks one rule from what these see.
package main

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
)

// Exit codes of a case.
const (
	exitHeld   = 0
	exitBroken = 1
	exitNotRun = 2
)

// play is one run of a case.
type play struct {
	// trouble is unset if the case is to run without its disruption.
	trouble bool
	record  *record
	// dir is a temporary folder for settings and logs.
	dir       string
	processes processes
}

// cases holds the cases by name; each returns how often its rule was broken.
var cases = map[string]func(*play) (int, error){
	"crowd": playCrowd, "unmarked-end": playUnmarkedEnd,
	"late-beat":     playLateBeat,
	"lapsed-leases": playLapsedLeases,
	"vacant-duty":   playVacantDuty,
}

var errUsage = errors.New("usage: rig CASE RECORD, or rig server ADDRESS ID EVENTS")

func main() {
	code, err := run(os.Args[1:])
	if err != nil {
		fmt.Fprintln(os.Stderr, "rig:", err)
	}
	os.Exit(code)
}

func run(args []string) (int, error) {
	if len(args) > 0 && args[0] == "server" {
		return exitNotRun, runStreamServer(args[1:])
	}
	if len(args) != 2 || cases[args[0]] == nil {
		return exitNotRun, errUsage
	}
	rec, err := newRecord(args[1])
	if err != nil {
		return exitNotRun, err
	}
	defer rec.close()
	dir, err := os.MkdirTemp("", "endivehitch-review-")
	if err != nil {
		return exitNotRun, fmt.Errorf("create temporary folder: %w", err)
	}
	defer func() { _ = os.RemoveAll(dir) }()
	p := &play{trouble: os.Getenv("TROUBLE") != "0", record: rec, dir: dir}
	p.processes.stopWhenGivenUp()
	defer p.processes.stop()
	broken, err := cases[args[0]](p)
	switch {
	case err != nil:
		rec.note("not run: %v", err)
		return exitNotRun, err
	case broken > 0:
		rec.note("BROKEN %d times", broken)
		return exitBroken, nil
	}
	rec.note("held")
	return exitHeld, nil
}

// program returns the path of the router's program, as the deploy file builds it.
func program() (string, error) {
	path, err := filepath.Abs(filepath.Join("target", "endivehitch"))
	if err != nil {
		return "", fmt.Errorf("find the program: %w", err)
	}
	if _, err := os.Stat(path); err != nil {
		return "", fmt.Errorf("find the program, which the deploy file builds: %w", err)
	}
	return path, nil
}
