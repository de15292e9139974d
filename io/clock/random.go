package clock

import "math/rand/v2"

// Random draws numbers from the runtime's generator, for policies; it is safe for concurrent use.
type Random struct{}

// IntN returns a number from 0 to n-1.
func (Random) IntN(n int) int {
	return rand.IntN(n)
}
