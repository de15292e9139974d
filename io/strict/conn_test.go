package strict_test

import (
	"context"
	"io"
	"net"
	"testing"

	"gotest.tools/v3/assert"

	"endivehitch/io/fakes"
	"endivehitch/io/strict"
)

// readAfterReset opens a connection to a server that answers with a part and resets it, lets a write get the reset, and returns
// what is read then.
func readAfterReset(t *testing.T, dial strict.DialFunc) (string, error) {
	t.Helper()
	server, err := fakes.StartEarlyServer(fakes.RawAnswer{Text: "part", Reset: true})
	assert.NilError(t, err)
	defer func() { assert.NilError(t, server.Close()) }()
	c, err := dial(context.Background(), "tcp", server.Address())
	assert.NilError(t, err)
	defer func() { _ = c.Close() }()
	_, err = io.WriteString(c, "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999\r\n\r\n")
	assert.NilError(t, err)
	_, err = c.Write(make([]byte, fakes.LongUploadBytes))
	assert.Assert(t, err != nil, "the server has read the whole request")
	read, err := io.ReadAll(c)
	return string(read), err
}

// Guards against a reset that is read as an end, as a write got its error. The bare connection shows that this happens here.
func TestResetThatAWriteGotIsNoEnd(t *testing.T) {
	dial := new(net.Dialer).DialContext
	read, err := readAfterReset(t, dial)
	assert.NilError(t, err)
	assert.Equal(t, read, "part")
	read, err = readAfterReset(t, strict.Dial(dial))
	assert.ErrorIs(t, err, strict.ErrReset)
	assert.Equal(t, read, "part")
}
