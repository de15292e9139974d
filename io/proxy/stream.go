package proxy

import (
	"context"
	"errors"
	"io"

	"endivehitch/core/relay/query"
	"endivehitch/io/event"
)

// relayStream writes complete events to the caller as they arrive. The watchdog cancels the attempt when
// the stream stalls, and lastEventID lets another server resume it. Comments are relayed, but a stream
// that sends nothing else counts as stalled.
func (a *attemptHandler[H]) relayStream(ctx context.Context, answer *Answer[H], watch *watchdog) (query.Ending, bool, error) {
	splitter := event.NewSplitter(maxEventBytes)
	buf := make([]byte, readBufferBytes)
	for {
		n, err := answer.Body.Read(buf)
		if n > 0 {
			complete, splitErr := splitter.Feed(buf[:n])
			if splitErr != nil {
				return a.handleError(ctx, splitErr), false, nil
			}
			a.load.recordActivity(a.dispatcher.config.Now())
			if len(complete) > 0 {
				a.recordEvents(complete)
				if err := a.writeEvents(answer, complete); err != nil {
					return 0, true, a.failCallerLeft(err)
				}
				if id := splitter.LastID(); id != "" {
					a.lastEventID = id
				}
				if event.HasField(complete) {
					watch.recordActivity()
				}
			}
		}
		if errors.Is(err, io.EOF) && len(splitter.Rest()) == 0 && a.isWhole(ctx, answer) {
			a.recordSuccess()
			a.recordRun(a.dispatcher.config.Now())
			a.recordAnswered(answer.Status)
			return 0, true, nil
		}
		if err != nil {
			return a.handleError(ctx, err), false, nil
		}
	}
}

// isWhole reports whether a stream that ended after an event, or without any, is whole. What continues a stream may be
// empty, but then its end must be marked.
func (a *attemptHandler[H]) isWhole(ctx context.Context, answer *Answer[H]) bool {
	if !a.responseStarted || !answer.EndsWithConnection {
		return a.responseStarted
	}
	return a.events > 0 && a.isEndMeant(ctx, answer)
}

// isEndMeant reports whether the end of the body is that of the answer. Where the end of the connection marks it, a server
// that is gone by then may have had more to send.
func (a *attemptHandler[H]) isEndMeant(ctx context.Context, answer *Answer[H]) bool {
	if !answer.EndsWithConnection {
		return true
	}
	gone, _, _ := a.dispatcher.goneChecks.Do(string(a.server.ID), func() (any, error) {
		return a.dispatcher.config.Backend.IsGone(context.WithoutCancel(ctx), a.server), nil
	})
	isGone, _ := gone.(bool)
	return !isGone
}

// writeEvents writes the events, preceded by the answer's head unless an earlier attempt has written one.
func (a *attemptHandler[H]) writeEvents(answer *Answer[H], events []byte) error {
	a.load.recordFirstByte(a.dispatcher.config.Now())
	a.recordStart()
	if !a.responseStarted {
		a.responseStarted = true
		a.updateThrottle(true)
		a.decision.FirstByteTime = a.load.firstByteTime
		if err := a.writer.WriteHead(answer); err != nil {
			return err
		}
	}
	return a.writer.Write(events)
}
