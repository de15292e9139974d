// Package query holds the decisions of the system as pure functions of its state.
//
// A query takes a snapshot of the control state (state.State), the instance's own observations, the
// time and the randomness as arguments, and changes nothing. The commands that change the state are
// in core/cmds.
//
// A request passes the queries in this order. Admit yields an Admitted request, ChoosePlan a Plan of
// one version or a cascade of two, and Route turns a Target, which is a version or a plain service,
// into a Choice of backend server. CheckWait decides whether a request may queue for capacity,
// HedgeDelay and CanRetry whether it gets further attempts, and Eject whether a server is ejected as
// an outlier. Their estimates come from History, MedianDuration and Throughput, which the caller
// keeps up to date.
//
// Other queries serve the control side: PlanPlacement (placement of versions on servers), DueSteps
// (steps of roll-outs), View and Updates (gossip), Owner and IsDutyCandidate (division of work among
// the instances), BillReplicas and Reconcile (bills), OutcomeOf and Promote (changes to the
// configuration), Report and Explain (answers to operators).
package query
