// Package hangup catches SIGHUP from the initialisation of the process on, for programs that take it as a request to read their
// settings again. A signal that comes before a program has got to its own work would end it otherwise. Import it from main
// only, as it concerns the whole process.
package hangup
