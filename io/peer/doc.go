// Package peer carries calls between the instances of the fleet, over net/rpc with gob encoding and
// optional mutual TLS.
//
// A Method is a typed remote method. Other packages register methods with a Registrar, which Server
// implements, and call them through a Caller, which Client implements. A Client keeps one
// connection to each instance that it calls. ErrUnreachable separates calls that certainly did not
// run from those whose outcome is unknown.
package peer
