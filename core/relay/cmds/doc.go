// Package cmds holds the commands that change the router's control state, one per file: Learn and
// LearnAges take in what the store or other instances send, StoreAway records an outage of the
// store, Tick expires what an outage left behind, and Leave starts the shutdown.
//
// The control goroutine applies one command at a time to a relay.State. A command is pure: its Apply
// returns the next state and the effects that follow, and leaves the effects to the workers.
package cmds
