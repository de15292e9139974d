package strict_test

import (
	"io"
	"net/http"
	"net/http/httptest"
	"sync/atomic"
	"testing"

	"gotest.tools/v3/assert"

	"endivehitch/io/fakes"
	"endivehitch/io/strict"
)

// getOverTLS returns the body of the answer that a server with TLS writes as the text.
func getOverTLS(t *testing.T, text string) (string, error) {
	t.Helper()
	server := httptest.NewTLSServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		c, _, err := http.NewResponseController(w).Hijack()
		if err != nil {
			return
		}
		_, _ = io.WriteString(c, text)
		_ = c.Close()
	}))
	defer server.Close()
	trusting := server.Client().Transport.(*http.Transport).TLSClientConfig
	resp, err := strict.NewClient(&http.Transport{TLSClientConfig: trusting, DisableKeepAlives: true}).Get(server.URL)
	if err != nil {
		return "", err
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	return string(body), err
}

// Guards against checks that see what TLS has encrypted, and against their absence there.
func TestAnswersOverTLSAreChecked(t *testing.T) {
	for name, text := range fakes.SoundAnswers("") {
		body, err := getOverTLS(t, text)
		assert.Check(t, err, name)
		assert.Check(t, body == "{}", name)
	}
	for name, text := range fakes.BrokenFields("") {
		_, err := getOverTLS(t, text)
		assert.Check(t, err != nil, name)
	}
}

// Guards against a request that is sent twice because its answer is refused: on a kept connection the transport does so for one
// whose answer has not begun.
func TestRequestOfARefusedAnswerIsNotSentAgain(t *testing.T) {
	const sound = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}"
	for _, broken := range []string{"HTTP/1.1 000 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nX Y: v\r\n\r\n", "HTTP/1.1 200 OK\r\nX-Cut", "H"} {
		var requests atomic.Int64
		server, err := fakes.StartRawServer(fakes.RawConfig{IDHeader: "X-Unused", Answer: func(n int, _ string) fakes.RawAnswer {
			requests.Add(1)
			if n == 0 {
				return fakes.RawAnswer{Text: sound}
			}
			return fakes.RawAnswer{Text: broken, Close: true}
		}})
		assert.NilError(t, err)
		client := strict.NewClient(&http.Transport{})
		resp, err := client.Get("http://" + server.Address())
		assert.NilError(t, err)
		_, err = io.ReadAll(resp.Body)
		assert.NilError(t, err)
		_, err = client.Get("http://" + server.Address())
		assert.Check(t, err != nil, broken)
		assert.Check(t, requests.Load() == 2, "%d requests, %q", requests.Load(), broken)
		assert.NilError(t, server.Close())
	}
}
