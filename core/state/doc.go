// Package state holds the control state of one instance.
//
// A State holds the configuration document in force, the members of the fleet with their hash slots,
// the backend servers, the positions of roll-outs and the estimated quality of versions. For each kind
// of request it derives a CandidateSet of versions and cascades, so that little has to be computed for
// each request. A State is immutable and is itself the snapshot that traffic reads: the control
// loop publishes each new one. Commands return a new State with Effects, which workers outside the
// loop carry out.
package state
