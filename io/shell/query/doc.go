// Package query holds the commands of the command line that show something and change nothing, one
// per file.
//
// Where asks an instance of the platform program what it would do with a request. Config, Status, RollOutStatus,
// Explain and Audit send a query of package io/admin/query to an instance by a client of package reach and print
// the result. Check, and Explain with a log file,
// read local files only.
package query
