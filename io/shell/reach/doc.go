// Package reach holds the flags that the commands for the operators' API share.
//
// Flags are the instance's address, the operator's key, the file of the certificate authorities that
// the instance's certificate is checked against, and the time-out. NewClient makes a route.Client of
// their values. EdgeFlags and NewEdgeClient are those for an instance of the platform program.
package reach
