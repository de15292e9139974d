package plat

import (
	"context"
	"fmt"
	"strings"
)

// Watch sends the changes under the prefix, starting with the given revision, or with the next
// change if it is zero.
func (e *Embedded) Watch(ctx context.Context, prefix string, from int64) (<-chan Event, error) {
	if err := contextError(ctx); err != nil {
		return nil, fmt.Errorf("watch %s: %w", prefix, err)
	}
	current := e.latest.Get()
	if from <= 0 {
		from = current.revision + 1
	}
	if from <= current.compacted {
		return nil, fmt.Errorf("watch %s from %d: %w", prefix, from, ErrCompacted)
	}
	out := make(chan Event)
	go e.sendEvents(ctx, prefix, from, out)
	return out, nil
}

// sendEvents sends events until the context ends, or until the receiver is so far behind that the
// next one is no longer in the history.
func (e *Embedded) sendEvents(ctx context.Context, prefix string, next int64, out chan<- Event) {
	defer close(out)
	for {
		current := e.latest.Get()
		if next <= current.compacted {
			return
		}
		for _, ev := range current.eventsFrom(next) {
			if strings.HasPrefix(ev.Entry.Key, prefix) && !send(ctx, out, ev) {
				return
			}
		}
		next = max(next, current.revision+1)
		select {
		case <-current.superseded:
		case <-ctx.Done():
			return
		}
	}
}

// send sends one event, and reports whether the receiver took it before the context ended.
func send(ctx context.Context, out chan<- Event, event Event) bool {
	select {
	case out <- event:
		return true
	case <-ctx.Done():
		return false
	}
}
