package strict_test

import (
	"io"
	"net/http"
	"net/http/httptest"
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
