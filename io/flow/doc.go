// Package flow serves requests of model kinds and of plain services: it admits a request, chooses a
// version and a backend server, retries, hedges or escalates where that is allowed, and bills the
// complete answer.
//
// Flow.Serve executes each Job on its caller's goroutine; each attempt at a server, and each shared
// execution that answers several callers, has a goroutine of its own. An execution goes through the
// states of a lifecycle. At each step, the queries of core decide on the current control state,
// which comes from Config.Snapshot. A slotAllocator limits the concurrent requests at each backend
// server and queues the rest; ServerLoads holds what this instance knows of the servers' load.
// Attempts are sent through an engine.Runner, and the answer is written to a ResponseWriter, which
// encodes it for the caller.
//
// A Biller stores the bill before the caller learns that the answer is complete. An
// IdempotencyGuard ensures that a request that is not idempotent runs at most once, and a Judge
// assesses the first answer of a cascade.
package flow
