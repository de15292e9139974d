// Package query holds the queries that traffic and workers ask of the router's snapshot, one topic
// per file.
//
// For a request, Admit returns the route and priority, Spread the service, Release the release that
// must run it, and Pick the backend server, from a Want and the observed loads. How each attempt ends
// is an Ending, counted in Sends: Patience says when to give up a silent attempt, Again whether to
// retry, Verdict what to answer otherwise, and StepUp whether a larger model should answer. For the
// control loop, Judge decides on a roll-out, Vacant on taking its duty, and Reader and Teller on
// where updates of the store come from.
//
// A query is a pure function of the state: time, randomness and the instance's own observations are
// arguments.
package query
