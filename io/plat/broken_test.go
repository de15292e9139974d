package plat_test

import (
	"errors"
	"net/http"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/io/fakes"
	"endivehitch/io/plat"
)

// newRawGateway returns a store whose gateway answers each call with the text and closes the connection.
func newRawGateway(t *testing.T, text string) *plat.Etcd {
	t.Helper()
	server, err := fakes.StartTextServer(text)
	assert.NilError(t, err)
	t.Cleanup(func() { assert.NilError(t, server.Close()) })
	e, err := plat.NewEtcd(plat.EtcdConfig{Base: "http://" + server.Address(), Client: &http.Client{}})
	assert.NilError(t, err)
	return e
}

const succeeded = `{"header":{"revision":"5"},"succeeded":true}`

// Guards against a change that counts as made by an answer of which only the first value has come.
func TestAnswerThatBreaksOffProvesNoChange(t *testing.T) {
	for name, rest := range map[string]string{
		"before its length":      "Content-Length: 500\r\n\r\n" + succeeded,
		"before the last chunk":  "Transfer-Encoding: chunked\r\n\r\n2c\r\n" + succeeded + "\r\n",
		"inside a second value":  "\r\n" + succeeded + `{"header"`,
		"with a second value":    "\r\n" + succeeded + succeeded,
		"inside the first value": "\r\n" + succeeded[:len(succeeded)-1],
		"before the first value": "\r\n",
		"without any chunk":      "Transfer-Encoding: chunked\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			_, err := newRawGateway(t, "HTTP/1.1 200 OK\r\n"+rest).Swap(t.Context(), plat.Swap{Key: "a"})
			assert.ErrorIs(t, err, plat.ErrUnknown)
		})
	}
}

// Guards against the empty answer, or the one to another call, passing for the absence of entries, for a lost lease, or for a
// change that certainly was not made.
func TestAnswerToAnotherCallIsNoAnswer(t *testing.T) {
	for _, body := range []string{`{}`, `null`, `{"result":{}}`, `{"header":null,"succeeded":true}`, `{"count":"0"}`} {
		gate := newRawGateway(t, "HTTP/1.1 200 OK\r\n\r\n"+body)
		_, err := gate.Swap(t.Context(), plat.Swap{Key: "a"})
		assert.Check(t, errors.Is(err, plat.ErrUnknown) && !errors.Is(err, plat.ErrUnavailable), "swap, %s: %v", body, err)
		assert.Check(t, errors.Is(gate.Delete(t.Context(), "a", 1), plat.ErrUnknown), "delete, %s", body)
		_, err = gate.KeepAlive(t.Context(), 7)
		assert.Check(t, errors.Is(err, plat.ErrUnknown) && !errors.Is(err, plat.ErrLeaseLost), "keep alive, %s: %v", body, err)
		assert.Check(t, errors.Is(gate.Revoke(t.Context(), 7), plat.ErrUnknown), "revoke, %s", body)
		_, err = gate.Grant(t.Context(), time.Second)
		assert.Check(t, errors.Is(err, plat.ErrUnknown), "grant, %s", body)
		_, err = gate.Get(t.Context(), "a")
		assert.Check(t, errors.Is(err, plat.ErrUnavailable), "get, %s", body)
		_, err = gate.List(t.Context(), "a")
		assert.Check(t, errors.Is(err, plat.ErrUnavailable), "list, %s", body)
		_, err = gate.Watch(t.Context(), "a", 0)
		assert.Check(t, errors.Is(err, plat.ErrUnavailable), "watch, %s", body)
	}
}
