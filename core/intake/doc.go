// Package intake decides how much of the instance's memory and how many of its connections callers may hold, and whom to
// refuse when these run short. It does no I/O and reads no clock.
package intake
