//go:build !linux

package clock

import "time"

var processStart = time.Now()

// SinceBoot returns the time since the process was started, in which the machine was suspended not included.
func SinceBoot() (time.Duration, error) {
	return time.Since(processStart), nil
}
