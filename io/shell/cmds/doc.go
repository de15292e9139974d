// Package cmds holds the commands of the command line that change what the system does, one a file.
package cmds
