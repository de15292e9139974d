// Package query holds the queries of the operators' API, one per file: status, config, explain and
// audit. They change nothing.
//
// For each query there is the route by which an instance answers it and a Fetch function that sends
// it to an instance. Status and explain answer from the instance's own state and from what other
// instances report; config and audit read the key-value service.
package query
