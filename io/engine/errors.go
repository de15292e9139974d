package engine

import (
	"errors"
	"fmt"
	"net/http"
)

// ErrMismatch marks an answer that belongs to another request.
var ErrMismatch = errors.New("answer belongs to another request")

// StaleFence is the error of an order whose fencing token is older than one the server has seen.
type StaleFence struct {
	Sent int64
	Seen int64
}

// Error states both tokens.
func (s StaleFence) Error() string {
	return fmt.Sprintf("fencing token %d is stale: server has seen %d", s.Sent, s.Seen)
}

// BadStatus is the error of an answer whose status says that the run failed.
type BadStatus struct {
	Status int
	Detail string
}

// Error states the status and what the server said of it.
func (b BadStatus) Error() string {
	return fmt.Sprintf("backend server answered %d: %s", b.Status, b.Detail)
}

// Permanent reports whether the request itself is at fault, so that another server would say the same.
func (b BadStatus) Permanent() bool {
	return b.Status >= http.StatusBadRequest && b.Status < http.StatusInternalServerError &&
		b.Status != http.StatusTooManyRequests && b.Status != http.StatusRequestTimeout
}

// Overloaded reports whether the server refused the run for want of capacity.
func (b BadStatus) Overloaded() bool {
	return b.Status == http.StatusTooManyRequests || b.Status == http.StatusServiceUnavailable
}
