// Package cmds holds the commands that change the control state, one topic per file.
//
// Each command is a struct with a pure Apply method, which takes a state and a time and returns the
// next state and the effects that workers have to carry out. ReceiveMessage, CountSentUpdates,
// Suspect, MarkReplaced, Tick and SyncInstances maintain the membership of the fleet, and Leave takes
// this instance out of it. InstallRevision and InstallConfig put a configuration in force. SyncServers
// updates the list of backend servers. The commands on roll-outs start, advance and withdraw them or
// install what another instance has stored, and ObserveAttempts and ObserveRatings feed the tests that
// withdraw a bad version.
package cmds
