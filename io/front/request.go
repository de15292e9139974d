package front

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"

	"endivehitch/core/value"
)

// bytesPerToken converts the length of a body in bytes into an estimate of its input tokens.
const bytesPerToken = 4

// readBody returns the complete body, or a refusal if it is too long or arrives too slowly.
func (f *Front) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	// The error is ignored: a test recorder can't set deadlines, and a real connection always can.
	controller := http.NewResponseController(w)
	_ = controller.SetReadDeadline(f.Now().Add(f.Limits.ReadTimeout))
	body, err := io.ReadAll(r.Body)
	if err != nil {
		// The rest of the body is not read.
		w.Header().Set("Connection", "close")
	}
	var tooLong *http.MaxBytesError
	if errors.As(err, &tooLong) {
		return nil, badRequest(fmt.Sprintf("body is longer than %d bytes", tooLong.Limit))
	}
	if err != nil {
		return nil, badRequest("read body: " + err.Error())
	}
	// The read deadline is cleared once the body is complete: if it passed while the answer is being
	// written, the request would be canceled as if the caller had disconnected. After a failed read
	// it stays, because the HTTP server would otherwise wait for the rest of the body without limit.
	_ = controller.SetReadDeadline(time.Time{})
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
