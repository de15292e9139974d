package peer

import (
	"bufio"
	"encoding/gob"
	"errors"
	"fmt"
	"io"
	"net"
	"net/rpc"
	"sync/atomic"
	"time"
)

// maxMessageBytes bounds one message; it leaves room for the largest value of the key-value service
// and its framing.
const maxMessageBytes = 2 << 20

var errTooLarge = errors.New("message exceeds the limit")

// request is what the client passes to net/rpc as the arguments of a call; clientCodec sends args,
// and sets sent once the complete message is written.
type request struct {
	args any
	sent atomic.Bool
}

// codec encodes and decodes the messages of one connection, on the client or the server.
type codec struct {
	conn         net.Conn
	in           *limitedReader
	decoder      *gob.Decoder
	out          *bufio.Writer
	encoder      *gob.Encoder
	writeTimeout time.Duration
}

func newCodec(conn net.Conn, timeout time.Duration) *codec {
	in := &limitedReader{reader: bufio.NewReader(conn)}
	out := bufio.NewWriter(conn)
	return &codec{conn: conn, in: in, decoder: gob.NewDecoder(in), out: out, encoder: gob.NewEncoder(out), writeTimeout: timeout}
}

// send writes a header and a body; on an error it closes the connection, because a partial message
// may have been written.
func (c *codec) send(header, body any) error {
	err := c.encode(header, body)
	if err != nil {
		_ = c.conn.Close()
	}
	return err
}

func (c *codec) encode(header, body any) error {
	if err := c.conn.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
		return fmt.Errorf("set write deadline: %w", err)
	}
	if err := c.encoder.Encode(header); err != nil {
		return fmt.Errorf("encode header: %w", err)
	}
	if err := c.encoder.Encode(body); err != nil {
		return fmt.Errorf("encode body: %w", err)
	}
	if err := c.out.Flush(); err != nil {
		return fmt.Errorf("flush message: %w", err)
	}
	return nil
}

// limitedReader reads at most maxMessageBytes between resets. It has ReadByte because gob otherwise
// adds a buffer, which would read beyond the end of a message.
type limitedReader struct {
	reader   *bufio.Reader
	consumed int
}

func (r *limitedReader) reset() {
	r.consumed = 0
}

func (r *limitedReader) Read(p []byte) (int, error) {
	if r.consumed >= maxMessageBytes {
		return 0, errTooLarge
	}
	n, err := r.reader.Read(p[:min(len(p), maxMessageBytes-r.consumed)])
	r.consumed += n
	return n, err
}

func (r *limitedReader) ReadByte() (byte, error) {
	if r.consumed >= maxMessageBytes {
		return 0, errTooLarge
	}
	c, err := r.reader.ReadByte()
	r.consumed++
	return c, err
}

// clientCodec implements rpc.ClientCodec.
type clientCodec struct {
	*codec
}

func (c clientCodec) WriteRequest(r *rpc.Request, body any) error {
	outgoing := body.(*request)
	if err := c.send(r, outgoing.args); err != nil {
		// The request counts as not sent: the server runs no method before it has the complete message.
		return err
	}
	outgoing.sent.Store(true)
	return nil
}

func (c clientCodec) ReadResponseHeader(r *rpc.Response) error {
	c.in.reset()
	return c.decoder.Decode(r)
}

func (c clientCodec) ReadResponseBody(body any) error {
	return c.decoder.Decode(body)
}

func (c clientCodec) Close() error {
	return c.conn.Close()
}

// serverCodec implements rpc.ServerCodec.
type serverCodec struct {
	*codec
	// slots bounds the concurrent requests of one connection.
	slots       chan struct{}
	idleTimeout time.Duration
	// draining is set once the server stops, after which no further requests are read.
	draining *atomic.Bool
}

func (c serverCodec) ReadRequestHeader(r *rpc.Request) error {
	c.in.reset()
	if err := c.conn.SetReadDeadline(time.Now().Add(c.idleTimeout)); err != nil {
		return fmt.Errorf("set read deadline: %w", err)
	}
	// A stopping server sets draining and then a read deadline in the present. If the deadline above
	// has replaced that one, the flag is already set here.
	if c.draining.Load() {
		return io.EOF
	}
	if err := c.decoder.Decode(r); err != nil {
		return err
	}
	c.slots <- struct{}{}
	return nil
}

func (c serverCodec) ReadRequestBody(body any) error {
	return c.decoder.Decode(body)
}

func (c serverCodec) WriteResponse(r *rpc.Response, body any) error {
	<-c.slots
	return c.send(r, body)
}

func (c serverCodec) Close() error {
	return c.conn.Close()
}
