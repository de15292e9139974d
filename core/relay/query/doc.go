// Package query holds the queries that traffic and workers ask of the router's snapshot, one topic
// per file.
//
// For a request, Admit returns the route and priority, SelectTarget the service, Release the release
// that must run it, and SelectServer the backend server, from Criteria and the observed loads. How
// each attempt ends is an Ending, counted in RequestAttempts: SilenceTimeout says when to give up a
// silent attempt, MayRetry whether to retry, FinalRefusal what to answer otherwise, and StepUp
// whether a larger model should answer. For the control loop, Judge decides on a roll-out,
// TakeoverDelay on taking over its duty, and Reader and UpdateSource on where updates of the store
// come from.
//
// A query is a pure function of the state: time, randomness and the instance's own observations are
// arguments.
package query
