// Package plat holds the ports of the platform's services and their adapters.
//
// Ports that ask and ports that change stand apart. Every call takes a context
// whose end bounds it; an error that wraps ErrUnknown leaves open whether the
// call took effect.
package plat
