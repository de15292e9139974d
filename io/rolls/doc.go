// Package rolls carries out the duty for roll-outs: one instance at a time gathers what all have seen
// of a new release, and puts on record that it is under way, completed or reverted.
package rolls
