// Package clock waits for times to pass and draws random numbers, so that no part does it by hand.
package clock
