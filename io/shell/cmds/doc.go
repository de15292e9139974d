// Package cmds holds the commands of the command line that change what the system does, one per
// file.
//
// Each makes an order of package io/admin/cmds from its flags, sends it to an instance by a client
// of package reach, and prints the result.
package cmds
