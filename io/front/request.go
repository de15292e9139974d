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

// bytesPerToken turns a prompt's length in bytes into an estimate of its tokens.
const bytesPerToken = 4

// readBody returns the whole body, or a refusal where it is too long or too slow.
func (f *Front) readBody(w http.ResponseWriter, r *http.Request) ([]byte, error) {
	// Test recorders can't set deadlines; a real connection always can.
	c := http.NewResponseController(w)
	_ = c.SetReadDeadline(f.Now().Add(f.Limits.ReadTime))
	body, err := io.ReadAll(r.Body)
	var long *http.MaxBytesError
	if errors.As(err, &long) {
		return nil, badRequest(fmt.Sprintf("body is longer than %d bytes", long.Limit))
	}
	if err != nil {
		return nil, badRequest("read body: " + err.Error())
	}
	// A deadline that passes while the answer is on its way would look like a caller that has gone.
	// It stays after a failure: the server would wait without end for the rest of the body.
	_ = c.SetReadDeadline(time.Time{})
	return body, nil
}

// request reads what every route's headers say; the route adds the rest.
func (f *Front) request(r *http.Request, c caller, body []byte) (value.Request, Session, error) {
	session, err := f.session(r.Header.Get(headerSession), c.account)
	if err != nil {
		return value.Request{}, Session{}, err
	}
	key, err := idempotencyKey(r)
	if err != nil {
		return value.Request{}, Session{}, err
	}
	quality := value.QualityClass(r.Header.Get(headerQuality))
	if !quality.Valid() {
		return value.Request{}, Session{}, badRequest(headerQuality + " must be Best or absent")
	}
	now := f.Now()
	name := value.KindName(r.Header.Get(headerKind))
	kind, _ := f.Snapshot().Kind(name)
	until, err := deadline(r, now, kind.Deadline)
	if err != nil {
		return value.Request{}, Session{}, err
	}
	req := value.Request{
		ID:          c.id,
		Account:     c.account,
		Kind:        name,
		Session:     session.ID,
		Pinned:      session.Version,
		Quality:     quality,
		Key:         key,
		Deadline:    until,
		Arrived:     now,
		InputTokens: len(body) / bytesPerToken,
		Question:    question(r, body),
	}
	return req, session, nil
}

// question identifies what is asked, so that a key that comes again with another question is noticed.
func question(r *http.Request, body []byte) uint64 {
	h := xxhash.New()
	_, _ = h.WriteString(r.Method)
	_, _ = h.WriteString(r.URL.RequestURI())
	_, _ = h.Write(body)
	return h.Sum64()
}
