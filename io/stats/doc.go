// Package stats records the metrics of an instance and serves them to Prometheus.
//
// Every Metric is declared in one table. Stats, which New creates, counts the events that it is
// called for, such as decisions, refusals and answers, and samples gauges from Sources at
// intervals; its Handler serves the result. Recording never waits for a reader.
package stats
