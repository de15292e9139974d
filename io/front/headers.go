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
	// maxIdempotencyKeyBytes bounds a caller's idempotency key; the refusal's text repeats the number.
	maxIdempotencyKeyBytes = 255
)

// bearerToken returns the API key of the Authorization header.
func bearerToken(r *http.Request) string {
	return strings.TrimPrefix(r.Header.Get("Authorization"), bearerPrefix)
}

// idempotencyKey returns the key without the quotes that the string syntax of structured headers
// allows.
func idempotencyKey(r *http.Request) (value.IdempotencyKey, error) {
	key := strings.Trim(r.Header.Get(headerKey), `"`)
	if len(key) > maxIdempotencyKeyBytes {
		return "", badRequest(headerKey + " is longer than 255 bytes")
	}
	return value.IdempotencyKey(key), nil
}

// parseDeadline returns when the request must be answered: after the duration that the caller's
// header gives, such as "2s", or after the default timeout.
func parseDeadline(r *http.Request, now time.Time, defaultTimeout time.Duration) (time.Time, error) {
	text := r.Header.Get(headerDeadline)
	if text == "" {
		return now.Add(defaultTimeout), nil
	}
	timeout, err := time.ParseDuration(text)
	if err != nil || timeout <= 0 {
		return time.Time{}, badRequest(headerDeadline + " must be a duration such as 2s")
	}
	return now.Add(timeout), nil
}

func badRequest(detail string) error {
	return value.Refusal{Reason: value.ReasonBadRequest, NotRun: true, Detail: detail}
}
