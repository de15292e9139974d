// Package loop runs the single goroutine that owns the control state.
//
// A Loop receives Commands through a bounded mailbox and applies them one at a time. Each new state is
// published as an immutable snapshot, which any goroutine may read, and the effects of commands go to
// workers, which report results by sending further commands.
package loop
