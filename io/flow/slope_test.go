package flow_test

import (
	"context"
	"fmt"
	"io"
	"testing"
	"time"

	"endivehitch/core/cmds"
	"endivehitch/core/state"
	"endivehitch/core/value"
	"endivehitch/io/engine"
	"endivehitch/io/flow"
)

// instantBackend answers every call at once and accepts every bill.
type instantBackend struct{}

func (instantBackend) Start(context.Context, value.BackendServer, engine.Call) (engine.Answer, error) {
	return &onePieceAnswer{}, nil
}

func (instantBackend) StoreBill(context.Context, value.Bill) error { return nil }

func (instantBackend) Claim(context.Context, value.Request) (flow.Claim, *flow.StoredAnswer, error) {
	return nil, nil, io.ErrUnexpectedEOF
}

// onePieceAnswer is an answer that consists of one piece.
type onePieceAnswer struct{ sent bool }

func (o *onePieceAnswer) Head() engine.Head   { return engine.Head{Status: 200} }
func (o *onePieceAnswer) Usage() engine.Usage { return engine.Usage{InputTokens: 10, OutputTokens: 1} }
func (o *onePieceAnswer) Cancel()             {}

func (o *onePieceAnswer) Next(context.Context) (engine.Piece, error) {
	if o.sent {
		return engine.Piece{}, io.EOF
	}
	o.sent = true
	return engine.Piece{Data: []byte("{}")}, nil
}

// BenchmarkSlopeRequest measures the processor time of one request, from admission to its bill, for
// growing numbers of backend servers.
func BenchmarkSlopeRequest(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprintf("Servers%d", n), func(b *testing.B) {
			f := newFlowWithServers(b, n)
			for i := 0; b.Loop(); i++ {
				if _, err := f.Serve(context.Background(), newJob(fmt.Sprint(i), spelling), &recordingWriter{}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func newFlowWithServers(b *testing.B, servers int) *flow.Flow {
	b.Helper()
	document := newDocument(spelling)
	document.Pools[0].MaxInFlight = 8
	s, _ := cmds.InstallConfig{Accepted: value.AcceptedDocument{Document: document, Revision: 1}}.Apply(state.New(value.Instance{ID: "a"}), time.Now())
	for i := range servers {
		s = withServers(s, value.ServerID(fmt.Sprintf("replica-%05d", i)))
	}
	f, err := flow.New(flow.Config{
		Snapshot: func() state.State { return s },
		Runner:   instantBackend{}, Biller: instantBackend{}, Guard: instantBackend{},
		Record: func(value.Decision) {}, Now: time.Now, Seed: 7,
	})
	if err != nil {
		b.Fatal(err)
	}
	return f
}
