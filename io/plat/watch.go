package plat

import (
	"context"
	"fmt"
	"strings"
)

// Watch sends the changes under the prefix from the revision on, or from now on where it is zero.
func (e *Embedded) Watch(ctx context.Context, prefix string, from int64) (<-chan Event, error) {
	if err := ended(ctx); err != nil {
		return nil, fmt.Errorf("watch %s: %w", prefix, err)
	}
	im := e.current.Get()
	if from <= 0 {
		from = im.revision + 1
	}
	if from <= im.floor {
		return nil, fmt.Errorf("watch %s from %d: %w", prefix, from, ErrCompacted)
	}
	out := make(chan Event)
	go e.feed(ctx, prefix, from, out)
	return out, nil
}

// feed sends events until the context ends or the history no longer reaches back to the next one.
func (e *Embedded) feed(ctx context.Context, prefix string, next int64, out chan<- Event) {
	defer close(out)
	for {
		im := e.current.Get()
		if next <= im.floor {
			return
		}
		for _, ev := range im.since(next) {
			if strings.HasPrefix(ev.Entry.Key, prefix) && !send(ctx, out, ev) {
				return
			}
		}
		next = max(next, im.revision+1)
		select {
		case <-im.changed:
		case <-ctx.Done():
			return
		}
	}
}

func send(ctx context.Context, out chan<- Event, ev Event) bool {
	select {
	case out <- ev:
		return true
	case <-ctx.Done():
		return false
	}
}
