// Package cmds holds the commands that change the control state, one a file.
//
// Each command is a typed struct with one pure function from a state and a
// time to the next state and the effects that follow.
package cmds
