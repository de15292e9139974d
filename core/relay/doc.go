// Package relay holds the immutable values and the control state of the router that forwards plain
// requests and event streams: routes, services, backend servers, keys, roll-outs and members.
//
// Its state changes only by the commands of relay/cmds and is read by the queries of relay/query.
package relay
