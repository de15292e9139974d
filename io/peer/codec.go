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

// messageLimit bounds one message in bytes: a whole value of the key-value service and its frame.
const messageLimit = 2 << 20

var errTooLarge = errors.New("message exceeds the limit")

// request is what the client side hands to its codec, which notes that the whole message went out.
type request struct {
	args any
	sent atomic.Bool
}

// wire is one connection's encoding, for either side.
type wire struct {
	conn    net.Conn
	in      *bounded
	decoder *gob.Decoder
	out     *bufio.Writer
	encoder *gob.Encoder
	write   time.Duration
}

func newWire(c net.Conn, write time.Duration) *wire {
	in := &bounded{reader: bufio.NewReader(c)}
	out := bufio.NewWriter(c)
	return &wire{conn: c, in: in, decoder: gob.NewDecoder(in), out: out, encoder: gob.NewEncoder(out), write: write}
}

// send writes a header and a body; after an error the connection is of no further use.
func (w *wire) send(header, body any) error {
	err := w.encode(header, body)
	if err != nil {
		_ = w.conn.Close()
	}
	return err
}

func (w *wire) encode(header, body any) error {
	if err := w.conn.SetWriteDeadline(time.Now().Add(w.write)); err != nil {
		return fmt.Errorf("set write deadline: %w", err)
	}
	if err := w.encoder.Encode(header); err != nil {
		return fmt.Errorf("encode header: %w", err)
	}
	if err := w.encoder.Encode(body); err != nil {
		return fmt.Errorf("encode body: %w", err)
	}
	if err := w.out.Flush(); err != nil {
		return fmt.Errorf("flush message: %w", err)
	}
	return nil
}

// bounded reads at most messageLimit bytes between resets.
type bounded struct {
	reader *bufio.Reader
	used   int
}

func (b *bounded) reset() {
	b.used = 0
}

func (b *bounded) Read(p []byte) (int, error) {
	if b.used >= messageLimit {
		return 0, errTooLarge
	}
	n, err := b.reader.Read(p[:min(len(p), messageLimit-b.used)])
	b.used += n
	return n, err
}

func (b *bounded) ReadByte() (byte, error) {
	if b.used >= messageLimit {
		return 0, errTooLarge
	}
	c, err := b.reader.ReadByte()
	b.used++
	return c, err
}

type clientCodec struct {
	*wire
}

func (c clientCodec) WriteRequest(r *rpc.Request, body any) error {
	req := body.(*request)
	if err := c.send(r, req.args); err != nil {
		// The other side runs nothing before it has the whole message.
		return err
	}
	req.sent.Store(true)
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

type serverCodec struct {
	*wire
	// slots bounds the requests that one connection has under way.
	slots chan struct{}
	idle  time.Duration
	// stop says that no further requests are to be read.
	stop *atomic.Bool
}

func (c serverCodec) ReadRequestHeader(r *rpc.Request) error {
	c.in.reset()
	if err := c.conn.SetReadDeadline(time.Now().Add(c.idle)); err != nil {
		return fmt.Errorf("set read deadline: %w", err)
	}
	// The deadline is set first, so that it can't undo the one that the stopping server sets.
	if c.stop.Load() {
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
