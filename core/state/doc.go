// Package state holds the control state of one instance.
//
// A State is immutable and is itself the snapshot that traffic reads: the
// control loop publishes each new one whole.
package state
