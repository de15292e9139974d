// Package cmds holds the operators' commands, one a file: apply, promote and the roll-out's orders.
//
// Each changes the key-value service by one compare-and-swap under the
// operator's own change identifier, which resolves an answer that was lost.
package cmds
