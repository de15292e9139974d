// Package fleet holds the pure decisions by which instances act as one:
// membership, the spread of the configuration, and leases.
package fleet
