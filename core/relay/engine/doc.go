// Package engine estimates what a request costs at a model engine: the time until its first event, and the time that it
// takes from the streams that already run there.
//
// A Pace is how long work takes at one server relative to others, and Hits how often servers that were expected to hold
// the shared parts of a prompt did. EstimateOf combines them with a Demand, what the request asks of any engine, and a
// Server, what is known of one. All values are immutable, and all functions are pure.
package engine
