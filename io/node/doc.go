// Package node assembles one instance of the system from its components and runs it.
//
// The main type is Node, which New builds from a Config and Run serves until its context ends. One
// goroutine runs the control loop, which owns the control state; commands change the state, and
// Node passes the resulting effects to the components that carry them out. Other goroutines serve
// callers through front.Front and flow.Flow, which read snapshots of the control state. Further
// components are gossip (membership and configuration), the idempotency guard, the biller, the
// duties of roll-outs and the metrics.
package node
