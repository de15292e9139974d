package proxy

import (
	"context"
	"errors"
	"fmt"
	"io"

	"endivehitch/core/relay"
	"endivehitch/core/relay/query"
)

// relayBody relays an answer that is not an event stream. It buffers up to bufferedBodyBytes before it
// writes any of the body, and copies the rest of a larger one as it arrives. Once a part is written, no
// other server can take over, so the watchdog is stopped.
func (a *attemptHandler[H]) relayBody(ctx context.Context, answer *Answer[H], watch *watchdog) (query.Ending, bool, error) {
	body, err := io.ReadAll(io.LimitReader(answer.Body, bufferedBodyBytes))
	if err == nil && len(body) < bufferedBodyBytes && !a.isEndMeant(ctx, answer) {
		err = errServerGone
	}
	if err != nil {
		return a.handleError(ctx, err), false, nil
	}
	if watch.stop() {
		return a.handleError(ctx, errSilenceTimeout), false, nil
	}
	a.load.recordFirstByte(a.dispatcher.config.Now())
	a.responseStarted = true
	if err := a.writer.WriteHead(answer); err != nil {
		return 0, true, a.failCallerLeft(err)
	}
	if err := a.writer.Write(body); err != nil {
		return 0, true, a.failCallerLeft(err)
	}
	if len(body) == bufferedBodyBytes {
		if err := a.copyBody(ctx, answer); err != nil {
			return 0, true, a.failCopy(ctx, err)
		}
	}
	if answer.Status < 500 {
		a.recordStart()
		a.recordSuccess()
	}
	a.recordAnswered(answer.Status)
	return 0, true, nil
}

// errServerGone means that an answer ended with its connection, and its server is gone.
var errServerGone = errors.New("server is gone after an answer without a marked end")

// errCallerWrite is wrapped by the errors of writes to the caller.
var errCallerWrite = errors.New("caller does not take the answer")

// copyBody copies the rest of a body to the caller.
func (a *attemptHandler[H]) copyBody(ctx context.Context, answer *Answer[H]) error {
	buf := make([]byte, readBufferBytes)
	for {
		n, err := answer.Body.Read(buf)
		if n > 0 {
			if err := a.writer.Write(buf[:n]); err != nil {
				return fmt.Errorf("%w: %w", errCallerWrite, err)
			}
		}
		if errors.Is(err, io.EOF) && a.isEndMeant(ctx, answer) {
			return nil
		}
		if err != nil {
			return fmt.Errorf("read the rest of the body: %w", err)
		}
	}
}

// failCopy ends a request whose answer broke off after a part of it had been written to the caller.
func (a *attemptHandler[H]) failCopy(ctx context.Context, err error) error {
	if errors.Is(err, errCallerWrite) {
		return a.failCallerLeft(err)
	}
	a.handleError(ctx, err)
	return a.fail(relay.Refusal{Reason: relay.ReasonOutcomeUnknown, Detail: err.Error()})
}
