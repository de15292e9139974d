package front

import (
	"net/http"
	"strings"
	"time"

	"endivehitch/core/value"
)

const (
	headerRequest  = "X-Request-Id"
	headerSession  = "Endivehitch-Session"
	headerKind     = "Endivehitch-Kind"
	headerQuality  = "Endivehitch-Quality"
	headerDeadline = "Endivehitch-Deadline"
	headerVersion  = "Endivehitch-Version"
	headerKey      = "Idempotency-Key"
	bearerPrefix   = "Bearer "
	// keyBytes bounds a caller's idempotency key.
	keyBytes = 255
)

func bearer(r *http.Request) string {
	return strings.TrimPrefix(r.Header.Get("Authorization"), bearerPrefix)
}

// idempotencyKey reads the key, with or without the quotes of a structured header's string.
func idempotencyKey(r *http.Request) (value.IdempotencyKey, error) {
	key := strings.Trim(r.Header.Get(headerKey), `"`)
	if len(key) > keyBytes {
		return "", badRequest(headerKey + " is longer than 255 bytes")
	}
	return value.IdempotencyKey(key), nil
}

// deadline reads the caller's own time limit, such as "2s"; without one the kind's applies.
func deadline(r *http.Request, now time.Time, byKind time.Duration) (time.Time, error) {
	text := r.Header.Get(headerDeadline)
	if text == "" {
		return now.Add(byKind), nil
	}
	d, err := time.ParseDuration(text)
	if err != nil || d <= 0 {
		return time.Time{}, badRequest(headerDeadline + " must be a duration such as 2s")
	}
	return now.Add(d), nil
}

func badRequest(detail string) error {
	return value.Refusal{Reason: value.ReasonBadRequest, NotRun: true, Detail: detail}
}
