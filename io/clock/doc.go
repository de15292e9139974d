// Package clock waits for times to pass, so that no part does it by hand.
package clock
