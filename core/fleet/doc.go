// Package fleet holds the rules of group membership and of leases among the instances.
//
// Membership follows a SWIM-like protocol of probes, suspicions and gossip: Timing sets its pace,
// Supersedes, Refutes and Merge decide between updates on an instance, and Timing.Expired decides which
// state an instance passes into by time alone. LeaseRule sets the times of a lease, and a HeldLease
// states how long the lease's holder may still act. Nothing here sends messages or reads a clock.
package fleet
