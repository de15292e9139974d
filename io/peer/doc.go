// Package peer carries messages between the instances of the fleet, over net/rpc.
package peer
