// Package cmds holds the commands of the operators' API, one per file: apply, promote and the
// orders to roll-outs.
//
// For each command there is a function that carries it out (Apply, Promote, RollOut), the route by
// which an instance serves it, and a function that sends it to an instance. A command changes one
// record in the key-value service by a compare-and-swap. If the answer to it is lost, the command
// reads the record back. A document records the change identifiers of its latest changes, which
// show whether this one took effect; an order to a roll-out is complete once the stored progress
// is what it asks for.
package cmds
