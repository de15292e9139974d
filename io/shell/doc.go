// Package shell is the command line of the program.
//
// Run parses the arguments and runs one of Commands. The commands are in three packages, one per
// file: start holds those that run instances, cmds those that change what the system does, and
// query those that only show something. The last two call the operators' API of the instance that
// the flags of package reach name. Package exit maps the error of Run to the exit code of the
// process.
package shell
