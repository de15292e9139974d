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
	NotRun bool   `json:"NotRun"`
	// Request is the identifier that explain takes.
	Request string `json:"Request"`
}

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

// retryAfter rounds up, so that a caller never comes back too early.
func retryAfter(d time.Duration) string {
	return strconv.Itoa(int(math.Ceil(d.Seconds())))
}
