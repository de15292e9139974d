// Package cmds holds the commands that change the control state, one topic per file.
//
// Each command is a struct with a pure Apply method, which takes a state and a time and returns the
// next state and the effects that workers have to carry out. Heard, Passed, Suspect, Replaced, Tick and
// SyncInstances maintain the membership of the fleet; Spread and InstallConfig put a configuration in
// force; SyncServers keeps the list of backend servers; the commands on roll-outs start, advance and
// withdraw them, and ObserveRuns and ObserveRatings feed the tests that withdraw a bad version.
package cmds
