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
	return fmt.Sprintf("fencing token %d is stale: server has received %d", s.Sent, s.Highest)
}

// StatusError is the error of an answer whose status means that the call failed.
type StatusError struct {
	Status int
	Detail string
}

// Error gives the status and the start of the answer's body.
func (s StatusError) Error() string {
	return fmt.Sprintf("backend server answered %d: %s", s.Status, s.Detail)
}

// Permanent reports whether the request itself caused the failure, so that a retry at another server
// would fail too.
func (s StatusError) Permanent() bool {
	return s.Status >= http.StatusBadRequest && s.Status < http.StatusInternalServerError &&
		s.Status != http.StatusTooManyRequests && s.Status != http.StatusRequestTimeout
}

// Overloaded reports whether the server refused the call for lack of capacity.
func (s StatusError) Overloaded() bool {
	return s.Status == http.StatusTooManyRequests || s.Status == http.StatusServiceUnavailable
}
