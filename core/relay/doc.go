// Package relay holds the immutable values and the control state of the router that forwards plain
// requests and event streams to backend servers.
//
// A Config with its Routes, Services and Accounts comes from the operators; Server, Member,
// RollOut, Progress, Duty and Evacuation are records of the platform's store. Changes to all of them arrive as
// a Feed, and State.WithFeed folds them into the next State. State changes only by the commands of
// relay/cmds and is read by the queries of relay/query. Load, Tally, Throttle and ConfidenceGain
// are what one instance has measured itself; they are kept outside State and passed to the queries
// as arguments. Of these, instances exchange Tallies, a few SessionUses, the load reports of servers, and the
// PartRecords of parts of prompts under which servers crashed.
package relay
