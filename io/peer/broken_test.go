package peer_test

import (
	"bytes"
	"context"
	"encoding/gob"
	"errors"
	"net"
	"net/rpc"
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/value"
	"endivehitch/io/peer"
)

// encodeReply returns the bytes of a reply to the call with the number.
func encodeReply(t *testing.T, seq uint64, body any) []byte {
	t.Helper()
	var out bytes.Buffer
	e := gob.NewEncoder(&out)
	assert.NilError(t, e.Encode(&rpc.Response{ServiceMethod: "Echo", Seq: seq}))
	assert.NilError(t, e.Encode(body))
	return out.Bytes()
}

// callAnsweredBy makes a call to an instance that answers with the bytes and closes the connection.
func callAnsweredBy(t *testing.T, answer []byte) (string, error) {
	t.Helper()
	near, far := net.Pipe()
	go func() {
		defer far.Close()
		d := gob.NewDecoder(far)
		if d.Decode(new(rpc.Request)) != nil || d.Decode(new(peer.Frame[wireReq])) != nil {
			return
		}
		_, _ = far.Write(answer)
	}()
	client, err := peer.NewClient(peer.ClientConfig{Dial: func(context.Context, string, string) (net.Conn, error) { return near, nil }})
	assert.NilError(t, err)
	defer client.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	reply, err := echo.Call(ctx, client, value.Instance{ID: "b", PeerAddress: "b:1"}, wireReq{Text: "q"})
	return reply.Text, err
}

// Guards against a reply of another instance that is cut, or isn't one, passing for its answer, or for the sign that it never got
// the call.
func TestBrokenReplyIsNoAnswer(t *testing.T) {
	whole := encodeReply(t, 0, peer.Frame[wireResp]{Body: wireResp{Text: "whole"}})
	text, err := callAnsweredBy(t, whole)
	assert.NilError(t, err)
	assert.Equal(t, text, "whole")
	broken := map[string][]byte{
		"to another call": encodeReply(t, 7, peer.Frame[wireResp]{Body: wireResp{Text: "other"}}), "of another type": encodeReply(t, 0, peer.Frame[int]{Body: 5}),
		"text": []byte("HTTP/1.1 200 OK\r\n\r\n"), "zeros": make([]byte, 64), "endless length": bytes.Repeat([]byte{0xf8, 0xff}, 64),
	}
	for cut := range len(whole) {
		broken["cut after "+strconv.Itoa(cut)] = whole[:cut]
	}
	for name, answer := range broken {
		t.Run(name, func(t *testing.T) {
			_, err := callAnsweredBy(t, answer)
			assert.Assert(t, err != nil)
			assert.Assert(t, !errors.Is(err, peer.ErrUnreachable), "%v", err)
		})
	}
}
