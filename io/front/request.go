package front

import (
	"errors"
	"fmt"
	"net/http"

	"github.com/cespare/xxhash/v2"

	"endivehitch/core/value"
	"endivehitch/io/intake"
)

// bytesPerToken converts the length of a body in bytes into an estimate of its input tokens.
const bytesPerToken = 4

// readBody returns the complete body, or a refusal if it is too long, arrives too slowly, or finds no room.
func (f *Front) readBody(w http.ResponseWriter, r *http.Request) (intake.Body, error) {
	body, err := f.Intake.ReadBody(intake.BodyConfig{Response: w, Request: r, Limit: f.Limits.BodyBytes, Start: f.Now()})
	switch {
	case errors.Is(err, intake.ErrTooLong):
		return body, badRequest(fmt.Sprintf("body is longer than %d bytes", f.Limits.BodyBytes))
	case errors.Is(err, intake.ErrShort):
		return body, value.Refusal{Reason: value.ReasonNoServer, NotRun: true, RetryAfter: intake.RetryAfter, Detail: err.Error()}
	case err != nil:
		return body, badRequest("read body: " + err.Error())
	}
	return body, nil
}

// newRequest builds the request from the headers that all routes share; the route adds its own
// fields.
func (f *Front) newRequest(r *http.Request, c caller, body []byte) (value.Request, Session, error) {
	session, err := f.resolveSession(r.Header.Get(headerSession), c.account)
	if err != nil {
		return value.Request{}, Session{}, err
	}
	key, err := idempotencyKey(r)
	if err != nil {
		return value.Request{}, Session{}, err
	}
	quality := value.QualityClass(r.Header.Get(headerQuality))
	if !quality.IsValid() {
		return value.Request{}, Session{}, badRequest(headerQuality + " must be Best or absent")
	}
	now := f.Now()
	kindName := value.KindName(r.Header.Get(headerKind))
	kind, _ := f.Snapshot().Kind(kindName)
	deadline, err := parseDeadline(r, now, kind.Deadline)
	if err != nil {
		return value.Request{}, Session{}, err
	}
	req := value.Request{
		ID:          c.id,
		Account:     c.account,
		Kind:        kindName,
		Session:     session.ID,
		Pinned:      session.Version,
		Quality:     quality,
		Key:         key,
		Deadline:    deadline,
		Arrived:     now,
		InputTokens: len(body) / bytesPerToken,
		RequestHash: hashRequest(r, body),
	}
	return req, session, nil
}

// hashRequest hashes method, URI and body, so that an idempotency key reused for another request is
// detected.
func hashRequest(r *http.Request, body []byte) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(r.Method)
	_, _ = h.WriteString(r.URL.RequestURI())
	_, _ = h.Write(body)
	return h.Sum64()
}
