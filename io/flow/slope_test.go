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

// instant answers every call at once, and keeps every bill.
type instant struct{}

func (instant) Start(context.Context, value.BackendServer, engine.Call) (engine.Answer, error) {
	return &one{}, nil
}

func (instant) Keep(context.Context, value.Bill) error { return nil }

func (instant) Claim(context.Context, value.Request) (flow.Claim, *flow.Stored, error) {
	return nil, nil, io.ErrUnexpectedEOF
}

// one is an answer of one piece.
type one struct{ given bool }

func (o *one) Head() engine.Head   { return engine.Head{Status: 200} }
func (o *one) Usage() engine.Usage { return engine.Usage{InputTokens: 10, OutputTokens: 1} }
func (o *one) Cancel()             {}

func (o *one) Next(context.Context) (engine.Piece, error) {
	if o.given {
		return engine.Piece{}, io.EOF
	}
	o.given = true
	return engine.Piece{Data: []byte("{}")}, nil
}

// BenchmarkSlopeRequest gives the processor time of one request's life, from admission to its bill,
// before so many backend servers.
func BenchmarkSlopeRequest(b *testing.B) {
	for _, n := range []int{10, 100, 1000, 10000} {
		b.Run(fmt.Sprintf("Servers%d", n), func(b *testing.B) {
			f := slopeFlow(b, n)
			for i := 0; b.Loop(); i++ {
				if _, err := f.Serve(context.Background(), job(fmt.Sprint(i), spelling), &seen{}); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func slopeFlow(b *testing.B, servers int) *flow.Flow {
	b.Helper()
	d := ward(spelling)
	d.Pools[0].MaxInFlight = 8
	s, _ := cmds.InstallConfig{Accepted: value.AcceptedDocument{Document: d, Revision: 1}}.Apply(state.New(value.Instance{ID: "a"}), time.Now())
	for i := range servers {
		s = withServers(s, value.ServerID(fmt.Sprintf("replica-%05d", i)))
	}
	f, err := flow.New(flow.Config{
		Snapshot: func() state.State { return s },
		Runner:   instant{}, Biller: instant{}, Guard: instant{},
		Record: func(value.Decision) {}, Now: time.Now, Seed: 7,
	})
	if err != nil {
		b.Fatal(err)
	}
	return f
}
