package event_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"endivehitch/io/event"
)

func TestCompleteEventsAreReturnedForEveryChunkSize(t *testing.T) {
	stream := "id: 1\ndata: a\n\nid: 2\ndata: b\n\nid:3\ndata: c\n\n"
	for size := 1; size <= len(stream); size++ {
		s := event.NewSplitter(100)
		var out strings.Builder
		for remaining := stream; remaining != ""; {
			n := min(size, len(remaining))
			complete, err := s.Feed([]byte(remaining[:n]))
			assert.NilError(t, err)
			assert.Assert(t, len(complete) == 0 || strings.HasSuffix(string(complete), "\n\n"))
			out.Write(complete)
			remaining = remaining[n:]
		}
		assert.Equal(t, out.String(), stream)
		assert.Equal(t, s.LastID(), "3")
		assert.Equal(t, len(s.Rest()), 0)
	}
}

func TestPartialEventIsHeldBack(t *testing.T) {
	s := event.NewSplitter(100)
	complete, err := s.Feed([]byte("id: 7\r\ndata: a\r\n\r\nid: 8\r\nda"))
	assert.NilError(t, err)
	assert.Equal(t, string(complete), "id: 7\r\ndata: a\r\n\r\n")
	assert.Equal(t, s.LastID(), "7")
	assert.Equal(t, string(s.Rest()), "id: 8\r\nda")
}

func TestEventLongerThanTheLimitIsRefused(t *testing.T) {
	s := event.NewSplitter(10)
	_, err := s.Feed([]byte("data: 0123456789"))
	assert.ErrorIs(t, err, event.ErrTooLong)
}

func TestCommentsHaveNoField(t *testing.T) {
	for events, want := range map[string]bool{
		": ping\n\n":                     false,
		":\r\n\r\n:\n\n":                 false,
		"\n\n":                           false,
		": ping\n\nid: 1\ndata: a\n\n":   true,
		"data: a\n\n: ping\n\n":          true,
		"id: 1\r\ndata: a\r\n\r\n":       true,
		": the line below\ndata\n\n":     true,
		"data: one line: two colons\n\n": true,
	} {
		assert.Equal(t, event.HasField([]byte(events)), want, "%q", events)
	}
}

// An event that never ends may come in chunks of one byte; the work for each must not grow with what came
// before it.
func TestLongEventInSmallChunksIsReadInLinearTime(t *testing.T) {
	const maxBytes = 256 << 10
	s := event.NewSplitter(maxBytes)
	_, err := s.Feed([]byte("data: "))
	assert.NilError(t, err)
	allocated := testing.AllocsPerRun(1, func() {
		for err == nil {
			_, err = s.Feed([]byte("a"))
		}
	})
	assert.ErrorIs(t, err, event.ErrTooLong)
	assert.Assert(t, allocated < 1000, "%v allocations", allocated)
}
