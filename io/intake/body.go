package intake

import (
	"errors"
	"fmt"
	"io"
	"net/http"
	"os"
	"time"

	core "endivehitch/core/intake"
)

const (
	// smallBuffer is the first buffer of a body whose length is not announced, or while the budget is scarce.
	smallBuffer = 4 << 10
	// spareBytes is room beyond the limit of a body, so that its end is read without another buffer.
	spareBytes = 512
)

// Refusals of a body.
var (
	// ErrTooLong is returned for a body that is longer than allowed.
	ErrTooLong = errors.New("the body is too large")
	// ErrIncomplete is returned for a body that did not come whole, or not in time.
	ErrIncomplete = errors.New("the body did not come whole")
)

// BodyConfig describes the body to read.
type BodyConfig struct {
	Response http.ResponseWriter
	Request  *http.Request
	// Limit bounds the body in bytes.
	Limit int64
	// Start is when the body's time begins.
	Start time.Time
}

// Body is a request's body that is held in memory. Its Share is to be released once nothing refers to the bytes.
type Body struct {
	Bytes []byte
	Share *Share
}

// Release gives back what the body holds of the budget.
func (b Body) Release() {
	if b.Share != nil {
		b.Share.Release()
	}
}

// ReadBody returns the request's body, which draws from the budget as it arrives. The error wraps ErrShort, ErrTooLong or
// ErrIncomplete; the connection must then be closed after the answer, and the time left to read from it is bounded.
func (p *Pool) ReadBody(c BodyConfig) (Body, error) {
	announced := c.Request.ContentLength
	if announced == 0 {
		return Body{}, nil
	}
	if announced > c.Limit {
		p.Report(KindBody)
		Linger(c.Response)
		return Body{}, ErrTooLong
	}
	control := http.NewResponseController(c.Response)
	// Setting a deadline only fails on a broken connection, and then reading fails as well.
	_ = control.SetReadDeadline(c.Start.Add(p.config.Limits.BodyTime))
	share := p.Open(func() { _ = control.SetReadDeadline(time.Unix(1, 0)) })
	from := c.Request.Body
	if announced < 0 {
		from = http.MaxBytesReader(c.Response, from, c.Limit)
	}
	data, err := share.readAll(from, announced, c.Limit)
	// A share that was refused just before its body was whole has a deadline in the past.
	if !share.Complete() && !errors.Is(err, ErrShort) {
		err = errors.Join(ErrShort, err)
	}
	if err != nil {
		share.Release()
		Linger(c.Response)
		return Body{}, p.classify(err)
	}
	_ = control.SetReadDeadline(time.Time{})
	return Body{Bytes: data, Share: share}, nil
}

func (p *Pool) classify(err error) error {
	var tooLong *http.MaxBytesError
	switch {
	case errors.Is(err, ErrShort):
		return err
	case errors.As(err, &tooLong):
		p.Report(KindBody)
		return fmt.Errorf("%w: %w", ErrTooLong, err)
	case errors.Is(err, os.ErrDeadlineExceeded):
		p.Report(KindBodyTime)
	}
	return fmt.Errorf("%w: %w", ErrIncomplete, err)
}

// lingerTime bounds how long the rest of a refused body is read, so that its caller can still read the answer.
const lingerTime = 500 * time.Millisecond

// Linger bounds how long the server reads what is left of a refused request, and closes the connection after the answer.
func Linger(w http.ResponseWriter) {
	_ = http.NewResponseController(w).SetReadDeadline(time.Now().Add(lingerTime))
	w.Header().Set("Connection", "close")
}

// discard reads what is left of the request's body within the time for a body and drops it, and reports whether it was
// whole.
func (p *Pool) discard(w http.ResponseWriter, r *http.Request) bool {
	control := http.NewResponseController(w)
	_ = control.SetReadDeadline(p.config.Now().Add(p.config.Limits.BodyTime))
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return false
	}
	_ = control.SetReadDeadline(time.Time{})
	return true
}

// readAll reads the body into one buffer, which grows as bytes arrive.
func (s *Share) readAll(r io.Reader, announced, limit int64) ([]byte, error) {
	first, most := int64(smallBuffer), limit+spareBytes
	if announced > 0 {
		first, most = min(core.OrdinaryBytes, announced), announced
	}
	first, err := s.drawFirst(min(first, most))
	if err != nil {
		return nil, err
	}
	buf := s.take(first)
	for {
		if len(buf) == cap(buf) {
			if buf, err = s.grow(buf, min(2*int64(cap(buf)), most)); err != nil {
				return nil, err
			}
		}
		n, err := r.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		if int64(len(buf)) == announced || (errors.Is(err, io.EOF) && announced < 0) {
			return buf, nil
		}
		if errors.Is(err, io.EOF) {
			err = io.ErrUnexpectedEOF
		}
		if err != nil {
			s.spare(buf)
			return nil, err
		}
	}
}

// grow returns the content in a buffer of the size. Both buffers count until the old one is dropped.
func (s *Share) grow(old []byte, size int64) ([]byte, error) {
	if err := s.Draw(size); err != nil {
		s.spare(old)
		return nil, err
	}
	grown := append(s.take(size), old...)
	s.Return(int64(cap(old)))
	s.spare(old)
	return grown, nil
}

// take returns an empty buffer of at least the size, for which the share has drawn.
func (s *Share) take(size int64) []byte {
	buf := s.pool.spares.get(size)
	if more := int64(cap(buf)) - size; more > 0 {
		s.Force(more)
	}
	return buf
}
