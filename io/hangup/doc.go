// Package hangup catches SIGHUP from the initialisation of the process on, for programs that take it as a request to read their
// settings again. A signal that comes before a program has got to its own work would end it otherwise. It concerns the
// whole process: a program that imports it and wants the signal's usual effect calls Restore.
package hangup
