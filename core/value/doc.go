// Package value holds the immutable domain values that every other package exchanges.
//
// A Document is the configuration that an operator applies: client accounts, models with their
// versions, kinds of request, pools of backend servers, plain services and roll-outs. A Request is
// answered by attempts at backend servers and ends in a Bill or a Refusal; each choice on the way is a
// Decision. Instance and BackendServer describe the running system, Load the load and health of one
// server as this instance measures them, and Progress the position of a RollOut.
//
// A value is never changed after construction: a With method returns a new one, and slices are
// replaced as a whole. Durations are time.Duration, money is in micro-units of the operator's
// currency, lengths are in tokens.
package value
