// Package query holds the queries that traffic and workers ask of the router's snapshot, one topic
// per file.
//
// IsUnconfirmed says whether the instance may act on its state at all. For a request, Admit returns the route
// and priority, SelectTarget the service, Release the release that must run it, and SelectServer the backend
// server, from Criteria and the observed loads, among those that relay/place allows; PlaceRefusal is the answer
// if it allows none; SessionKeeper is the instance that knows a session's release.
// PartsToQuarantine finds the parts of prompts that crash servers, DueProbe the requests with them that may be
// sent all the same to see whether they still do, and QuarantineRefusal is the answer to others. How each
// attempt ends is an Ending, counted in RequestAttempts: SilenceTimeout says when to give up a silent attempt,
// RescueDelay when to finish a late one elsewhere, StallTimeout when to end it, MayRerun whether the request may
// run again for a retry, a move, a rescue or a step-up, FinalRefusal what to answer otherwise, and StepUp whether
// a larger model should answer.
//
// A server that is cold, as a cold.View says, or that has stated a limit gets a request only with a grant of the
// instance that LimitKeeper or ColdKeepers names. ClosedRefusal is the answer if each server is closed so. At a
// service whose engines state their costs, SelectServer compares the engine.Estimates of the request.
//
// For the control loop, Judge decides on a roll-out, CanaryServers on the servers that try its release,
// TakeoverDelay on taking over its duty, and Reader and UpdateSource on where updates of the store come from; StoreLongPoll and
// IsSilentReader keep a store that has fallen silent to a reader from delaying them.
//
// HoldTime says how long a request waits for the instance's first state, Readiness what the readiness check is told, and
// ExplainServers what led SelectServer to its choice.
//
// A query is a pure function of the state: time, randomness and the instance's own observations are
// arguments.
package query
