package engine

import (
	"errors"
	"fmt"
	"net/http"
)

// ErrMismatch is wrapped by the errors of answers whose request identifier is not the call's.
var ErrMismatch = errors.New("answer belongs to another request")

// StaleTokenError is the error of an order whose fencing token is lower than the highest one that
// the server has received.
type StaleTokenError struct {
	Sent    int64
	Highest int64
}

// Error names both tokens.
func (s StaleTokenError) Error() string {
	return fmt.Sprintf("fencing token %d is stale: server has seen %d", s.Sent, s.Highest)
}

// StatusError is the error of an answer whose status means that the call failed.
type StatusError struct {
	Status int
	Detail string
}

// Error gives the status and the start of the answer's body.
func (b StatusError) Error() string {
	return fmt.Sprintf("backend server answered %d: %s", b.Status, b.Detail)
}

// Permanent reports whether the request itself caused the failure, so that a retry at another server
// would fail too.
func (b StatusError) Permanent() bool {
	return b.Status >= http.StatusBadRequest && b.Status < http.StatusInternalServerError &&
		b.Status != http.StatusTooManyRequests && b.Status != http.StatusRequestTimeout
}

// Overloaded reports whether the server refused the call for lack of capacity.
func (b StatusError) Overloaded() bool {
	return b.Status == http.StatusTooManyRequests || b.Status == http.StatusServiceUnavailable
}
