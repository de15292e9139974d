// Package stats counts decisions, answers, refusals and calls, and serves the counts to Prometheus.
//
// Every metric stands in one table; recording never waits for a reader.
package stats
