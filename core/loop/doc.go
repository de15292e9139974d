// Package loop runs the one goroutine that owns the control state.
//
// Commands come in through a mailbox and are applied one at a time; each new
// state is published as an immutable snapshot, and effects go out to workers
// that answer with further commands.
package loop
