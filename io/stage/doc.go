// Package stage carries out what the control state asks of roll-outs: positions and withdrawals are
// kept in the key-value service and read back from it, runs and ratings reach their tests, and due
// steps are taken.
package stage
