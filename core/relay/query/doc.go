// Package query has the queries that traffic and workers ask of the router's snapshot, one a file.
//
// A query is a pure function: time, randomness and what the instance has observed are arguments.
package query
