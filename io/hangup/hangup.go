package hangup

import (
	"os"
	"os/signal"
	"syscall"
)

// received holds the signal that nobody has read yet; more of them mean the same.
var received = catch()

func catch() chan os.Signal {
	c := make(chan os.Signal, 1)
	signal.Notify(c, syscall.SIGHUP)
	return c
}

// Received returns the channel that yields a value after one or more signals.
func Received() <-chan os.Signal {
	return received
}

// Restore gives the signal its usual effect, which ends the process. One that has come already takes that effect now.
func Restore() error {
	signal.Stop(received)
	signal.Reset(syscall.SIGHUP)
	select {
	case <-received:
		return syscall.Kill(os.Getpid(), syscall.SIGHUP)
	default:
		return nil
	}
}
