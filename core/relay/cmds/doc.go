// Package cmds has the commands that change the router's control state, one a file.
//
// A command is applied by the one control goroutine; it is pure and returns the next state and the
// effects that follow from it.
package cmds
