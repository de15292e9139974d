package proxy_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/relay"
	"endivehitch/io/proxy"
)

const (
	// downTime is how long a server that has crashed is away.
	downTime = 3 * time.Second
	workTime = 30 * time.Millisecond
)

// crashingFleet is the three servers of a harness, which crash on requests with the deadly part before the head of an answer,
// and come back under other identifiers.
type crashingFleet struct {
	crashed map[relay.ServerID]time.Time
	crashes []time.Time
	deadly  []time.Time
}

func (f *crashingFleet) send(ctx context.Context, sent attempt) (*answer, error) {
	if _, isDown := f.crashed[sent.Server.ID]; isDown {
		return nil, proxy.ErrUnsent
	}
	isDeadly := hasPart(sent.Request.Prompt, "deadly")
	if isDeadly {
		f.deadly = append(f.deadly, time.Now())
	}
	time.Sleep(workTime)
	if _, isDown := f.crashed[sent.Server.ID]; !isDown && isDeadly {
		f.crashed[sent.Server.ID] = time.Now()
		f.crashes = append(f.crashes, time.Now())
	}
	if _, isDown := f.crashed[sent.Server.ID]; isDown {
		return nil, proxy.ErrAnswerLost
	}
	return answerOK("done")(ctx, sent)
}

// next returns a state in which servers are back that crashed long enough ago.
func (f *crashingFleet) next(s relay.State) relay.State {
	feed := relay.Feed{After: s.Revision, Revision: s.Revision + 1}
	for _, server := range s.Servers("app") {
		if at, isDown := f.crashed[server.ID]; isDown && time.Since(at) >= downTime {
			back := server
			back.ID = server.ID + "+"
			feed.Changes = append(feed.Changes,
				relay.Change{Key: string(server.ID), Revision: feed.Revision, Gone: true},
				relay.Change{Key: string(back.ID), Revision: feed.Revision, Entry: relay.Entry{Server: &back}})
		}
	}
	if len(feed.Changes) == 0 {
		return s
	}
	return s.WithFeed(feed, time.Now(), 0)
}

// Guards against a deadly part that keeps a whole service down: each server is taken down by it before the head of an answer,
// and again when it is back, and sound requests fail with it.
func TestPartThatTakesAllServersDownIsFoundBeforeTheyAreBackAgain(t *testing.T) {
	for _, everyMs := range []int{50, 300, 1000} {
		t.Run(fmt.Sprintf("a deadly request each %d ms", everyMs), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				f := &crashingFleet{crashed: make(map[relay.ServerID]time.Time)}
				h := newHarness(t, plainRoute(relay.RetryAlways), f.send)
				h.state = f.next
				began, soundLate, begunLate := time.Now(), 0, 0
				for n := 0; time.Since(began) < 20*time.Second; n++ {
					if n*50%everyMs == 0 {
						_ = h.serveParts("popular", "deadly", fmt.Sprint("own", n))
					}
					err := h.serveParts("popular", fmt.Sprint("other", n%4), fmt.Sprint("own", n))
					if len(f.crashes) >= 5 && time.Since(f.crashes[4]) > 2*detectionTime {
						soundLate++
						if err == nil {
							begunLate++
						}
					}
					time.Sleep(50 * time.Millisecond)
				}
				late := 0
				for _, at := range f.deadly {
					if len(f.crashes) >= 5 && at.Sub(f.crashes[4]) > detectionTime {
						late++
					}
				}
				assert.Assert(t, late <= maxLateSends, "%d late sends, %d crashes", late, len(f.crashes))
				assert.Assert(t, 2*begunLate >= soundLate, "%d of %d sound requests began", begunLate, soundLate)
			})
		})
	}
}
