package strict

import (
	"errors"
	"fmt"
	"io"
	"net/http"

	"golang.org/x/net/http/httpguts"
)

// Value returns the value of a field that stands once in a header, and "" if it is missing. It reports false if the field has
// several values that differ, so that none of them can be relied on.
func Value(header http.Header, name string) (string, bool) {
	values := header.Values(name)
	if len(values) == 0 {
		return "", true
	}
	for _, v := range values[1:] {
		if v != values[0] {
			return "", false
		}
	}
	return values[0], true
}

// EndsWithConnection reports whether nothing but the end of the connection marks the end of the body, which may also be that of
// the server's process.
func EndsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Body != http.NoBody
}

// Body returns the body of the answer, whose end counts only if the trailer after it is one in the protocol.
func Body(resp *http.Response) io.ReadCloser {
	if len(resp.TransferEncoding) == 0 {
		return resp.Body
	}
	return &chunkedBody{ReadCloser: resp.Body, answer: resp}
}

// chunkedBody is the body of an answer in chunks, which a trailer may follow.
type chunkedBody struct {
	io.ReadCloser
	answer *http.Response
}

// Read reads the body; in place of io.EOF, the error wraps ErrMalformed if the trailer is malformed.
func (b *chunkedBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if errors.Is(err, io.EOF) {
		if malformed := checkTrailer(b.answer.Trailer); malformed != nil {
			return n, malformed
		}
	}
	return n, err
}

func checkTrailer(trailer http.Header) error {
	for name, values := range trailer {
		if !httpguts.ValidHeaderFieldName(name) || !httpguts.ValidTrailerHeader(name) {
			return fmt.Errorf("%w: field %.40q in the trailer", ErrMalformed, name)
		}
		for _, v := range values {
			if !httpguts.ValidHeaderFieldValue(v) {
				return fmt.Errorf("%w: value of field %.40q in the trailer", ErrMalformed, name)
			}
		}
	}
	return nil
}
