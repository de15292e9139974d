// Command standin plays one case of the review: it starts a stand-in of the platform's store, stand-in backend servers and
// clients in its own process, and instances of the router as processes of their own, all on loopback addresses. It writes
// what was sent, answered and run to a record, and exits with 1 if the rule of the case was broken, 0 if it held, and 2 if
// the case couldn't run.
package main

import (
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
)

const (
	exitHeld      = 0
	exitBroken    = 1
	exitCannotRun = 2
)

// scenario plays a case; it returns what broke the rule, and an error if the case couldn't run.
type scenario func(w *world) ([]string, error)

var scenarios = map[string]scenario{}

func main() {
	if len(os.Args) == 3 && os.Args[1] == "serve-unframed" {
		fmt.Fprintln(os.Stderr, "standin:", serveUnframed(os.Args[2]))
		os.Exit(exitCannotRun)
	}
	if len(os.Args) == 3 && os.Args[1] == "spin" {
		spin()
		return
	}
	if len(os.Args) != 3 {
		fmt.Fprintln(os.Stderr, "usage: standin CASE FOLDER")
		os.Exit(exitCannotRun)
	}
	os.Exit(play(os.Args[1], os.Args[2]))
}

func play(name, folder string) int {
	run, ok := scenarios[name]
	if !ok {
		fmt.Fprintf(os.Stderr, "standin: no case %q\n", name)
		return exitCannotRun
	}
	w, err := newWorld(filepath.Join(folder, "record.txt"), os.Getenv("TROUBLE") != "0")
	if err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitCannotRun
	}
	defer w.close()
	stopped := make(chan os.Signal, 1)
	signal.Notify(stopped, os.Interrupt, syscall.SIGTERM)
	go func() {
		<-stopped
		w.close()
		os.Exit(exitCannotRun)
	}()
	w.record.add("case %s, trouble %v", name, w.trouble)
	breaches, err := run(w)
	for _, breach := range breaches {
		w.record.add("BROKEN %s", breach)
		fmt.Println("BROKEN", breach)
	}
	switch {
	case len(breaches) > 0:
		w.record.add("result: the rule was broken")
		return exitBroken
	case err != nil:
		w.record.add("result: the case couldn't run: %v", err)
		fmt.Fprintln(os.Stderr, "standin:", err)
		return exitCannotRun
	}
	w.record.add("result: the rule held")
	fmt.Println("the rule held")
	return exitHeld
}
