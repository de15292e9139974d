// Package cmds holds the commands that change the router's control state, one per file: ApplyFeed
// takes in changes from the store or other instances, ApplyOrderAges takes in the ages of roll-out
// orders, StoreUnreachable records the start of a store outage, Tick removes the servers that did not
// return after one, BeginStartup and OtherServes record what an instance knows before it has a state, and Leave
// starts the shutdown.
//
// The control goroutine applies one command at a time to a relay.State. A command is pure: its Apply
// returns the next state and the effects that follow, and leaves the effects to the workers.
package cmds
