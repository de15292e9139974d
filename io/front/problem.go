package front

import (
	"encoding/json"
	"errors"
	"math"
	"net/http"
	"strconv"
	"time"

	"endivehitch/core/value"
)

const problemType = "application/problem+json"

// wireProblem is an RFC 9457 problem document.
type wireProblem struct {
	Type   string `json:"type"`
	Title  string `json:"title"`
	Status int    `json:"status"`
	Detail string `json:"detail,omitempty"`
	Reason string `json:"Reason"`
	// NotRun is true only if the request was sent to no backend server, so that a retry cannot run it twice.
	NotRun bool `json:"NotRun"`
	// Request is the request identifier, which the explain command takes.
	Request string `json:"Request"`
}

// statusByReason maps the reason of a refusal to its HTTP status; reasons without an entry give 500.
var statusByReason = map[value.Reason]int{
	value.ReasonBadRequest:      http.StatusBadRequest,
	value.ReasonUnknownAccount:  http.StatusUnauthorized,
	value.ReasonKindNotAllowed:  http.StatusForbidden,
	value.ReasonNoVersion:       http.StatusForbidden,
	value.ReasonKeyRequired:     http.StatusBadRequest,
	value.ReasonKeyReused:       http.StatusUnprocessableEntity,
	value.ReasonStillRunning:    http.StatusConflict,
	value.ReasonOutcomeUnknown:  http.StatusConflict,
	value.ReasonOverloaded:      http.StatusTooManyRequests,
	value.ReasonQueueFull:       http.StatusTooManyRequests,
	value.ReasonDeadline:        http.StatusGatewayTimeout,
	value.ReasonBackend:         http.StatusBadGateway,
	value.ReasonNoServer:        http.StatusServiceUnavailable,
	value.ReasonJournalDown:     http.StatusServiceUnavailable,
	value.ReasonLeaving:         http.StatusServiceUnavailable,
	value.ReasonNoConfiguration: http.StatusServiceUnavailable,
}

// writeProblem answers with the refusal that the error wraps; any other error is reported as a
// failure of the backend server.
func writeProblem(w http.ResponseWriter, id value.RequestID, err error) {
	refusal := value.Refusal{Reason: value.ReasonBackend, Detail: err.Error()}
	errors.As(err, &refusal)
	status, ok := statusByReason[refusal.Reason]
	if !ok {
		status = http.StatusInternalServerError
	}
	w.Header().Set("Content-Type", problemType)
	if refusal.RetryAfter > 0 {
		w.Header().Set("Retry-After", retryAfter(refusal.RetryAfter))
	}
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(wireProblem{
		Type:    "about:blank",
		Title:   string(refusal.Reason),
		Status:  status,
		Detail:  refusal.Detail,
		Reason:  string(refusal.Reason),
		NotRun:  refusal.NotRun,
		Request: string(id),
	})
}

// retryAfter returns the delay in whole seconds, rounded up so that no caller retries too early.
func retryAfter(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}
