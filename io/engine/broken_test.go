package engine_test

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"endivehitch/core/value"
	"endivehitch/io/engine"
	"endivehitch/io/fakes"
)

// engineFields are those of an answer to the requests of call.
const engineFields = "X-Request-Id: r-1\r\n"

// assertNoAnswers fails the test for each of a server's answers that isn't refused, on a new connection and on a reused one.
func assertNoAnswers(t *testing.T, texts map[string]string) {
	t.Helper()
	for name, text := range texts {
		for last := range 2 {
			t.Run(name, func(t *testing.T) {
				_, e := startRawEngine(t, func(n int, id string) fakes.RawAnswer {
					if n == last {
						return fakes.RawAnswer{Text: text, Close: true}
					}
					return fakes.RawAnswer{Text: answerText(200, id, "sound")}
				})
				a := newRawAdapter(t)
				body, err := call(t, a, e, "r-1")
				if last > 0 {
					assert.ErrorIs(t, err, io.EOF)
					// The first connection isn't kept, as it isn't known yet that the server echoes identifiers.
					_, err = call(t, a, e, "r-1")
					assert.ErrorIs(t, err, io.EOF)
					body, err = call(t, a, e, "r-1")
				}
				var failed engine.StatusError
				assert.Assert(t, !isComplete(err) && !errors.As(err, &failed), "passed with the body %q and %v", body, err)
			})
		}
	}
}

// isComplete reports whether the error stands for the end of a complete answer.
func isComplete(err error) bool {
	return errors.Is(err, io.EOF) && !errors.Is(err, engine.ErrTruncated)
}

// Guards against a status line that is none reaching the caller as an answer, or counting as the failure of a server.
func TestStatusLineOutsideTheProtocolIsNoAnswer(t *testing.T) {
	assertNoAnswers(t, fakes.BrokenStatusLines(engineFields))
}

// Guards against a body that is framed without a line of the head that is no field.
func TestHeadWithALineThatIsNoFieldIsNoAnswer(t *testing.T) {
	assertNoAnswers(t, fakes.BrokenFields(engineFields))
}

// Guards against a reader so strict that it refuses sound answers.
func TestSoundAnswersPass(t *testing.T) {
	for name, text := range fakes.SoundAnswers(engineFields) {
		t.Run(name, func(t *testing.T) {
			_, e := startRawEngine(t, func(int, string) fakes.RawAnswer { return fakes.RawAnswer{Text: text, Close: true} })
			body, err := call(t, newRawAdapter(t), e, "r-1")
			assert.ErrorIs(t, err, io.EOF)
			assert.Equal(t, body, "{}")
		})
	}
}

// upload makes a call that is too long for the kernel's buffers, and returns the answer's body.
func upload(t *testing.T, address string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	return read(ctx, newRawAdapter(t), value.BackendServer{ID: "e-1", Address: "http://" + address}, engine.Call{
		Request: "r-1", Method: http.MethodPost, Path: "/x", Body: make([]byte, fakes.LongUploadBytes),
	})
}

// Guards against a part of an answer that passes for complete: its server resets the connection, and the goroutine that writes
// the call gets that error in place of the one that reads. Which of the two gets it is left to chance, so it is played often.
func TestAnswerThatIsResetDuringTheUploadIsNotComplete(t *testing.T) {
	passed, err := fakes.CountPassedResets(engineFields, 30, func(address string) bool {
		_, err := upload(t, address)
		return isComplete(err)
	})
	assert.NilError(t, err)
	assert.Equal(t, passed, 0)
}

// Guards against refusing an answer that is complete before its call is.
func TestEarlyAnswerThatIsCompletePasses(t *testing.T) {
	for name, answer := range fakes.EarlyAnswers(engineFields) {
		t.Run(name, func(t *testing.T) {
			server, err := fakes.StartEarlyServer(answer)
			assert.NilError(t, err)
			body, err := upload(t, server.Address())
			assert.ErrorIs(t, err, io.EOF)
			assert.Equal(t, body, "{}")
			assert.NilError(t, server.Close())
		})
	}
}

// Guards against a body that isn't the server's, as the head states two ends of it, or one that doesn't hold.
func TestHeadWithAmbiguousFramingIsNoAnswer(t *testing.T) {
	assertNoAnswers(t, fakes.BrokenFraming(engineFields))
}

// Guards against the body of an answer that should have none being read as the next head, or lost to the caller.
func TestHeadWithABodyThatItsStatusForbidsIsNoAnswer(t *testing.T) {
	assertNoAnswers(t, fakes.BrokenBodies(engineFields))
}

// Guards against a caller that is told to go on in another protocol, which nobody has asked for.
func TestProtocolSwitchedUnaskedIsNoAnswer(t *testing.T) {
	assertNoAnswers(t, map[string]string{"switch": fakes.ProtocolSwitch(engineFields)})
}

// Guards against the answer to another request reaching a caller, as the answer names both requests.
func TestAnswerThatNamesTwoRequestsIsNoAnswer(t *testing.T) {
	assertNoAnswers(t, fakes.BrokenIdentifiers(engineFields, "X-Request-Id"))
}

// Guards against an answer that passes for complete though what follows its last chunk is no trailer.
func TestAnswerWithAMalformedTrailerIsNotComplete(t *testing.T) {
	assertNoAnswers(t, fakes.BrokenTrailers(engineFields))
}

// Guards against a server that gets work because bytes that are no report pass for one without load, and against orders to load
// versions that it has.
func TestBodyThatIsNoReportIsAnError(t *testing.T) {
	for _, body := range []string{"", "{}", "null", `{"data":null}`, "vllm:num_requests_running 3\n", "vllm:num_requests_waiting 3\n", "ok"} {
		_, e := startRawEngine(t, func(int, string) fakes.RawAnswer {
			return fakes.RawAnswer{Text: answerText(http.StatusOK, "", body)}
		})
		a := newRawAdapter(t)
		_, err := a.Load(t.Context(), e)
		assert.Check(t, err != nil, "load, %q", body)
		_, err = a.LoadedVersions(t.Context(), e)
		assert.Check(t, err != nil, "versions, %q", body)
	}
}

// Guards against a load that is read only up to a long line, as if what follows it were zero.
func TestLoadBehindALongLineCounts(t *testing.T) {
	gauges := "vllm:num_requests_running 3\nvllm:num_requests_waiting 4\n"
	_, e := startRawEngine(t, func(int, string) fakes.RawAnswer {
		return fakes.RawAnswer{Text: answerText(http.StatusOK, "", gauges+"# "+strings.Repeat("l", 100<<10)+"\n"+gauges)}
	})
	report, err := newRawAdapter(t).Load(t.Context(), e)
	assert.NilError(t, err)
	assert.Equal(t, report.Running, 6)
	assert.Equal(t, report.Queued, 8)
}

// Guards against a part of an answer that passes for complete: its server has crashed, whose connections the kernel ends in good
// order.
func TestPartOfAnAnswerWhoseServerIsGoneIsNotComplete(t *testing.T) {
	started := make(chan *fakes.RawServer, 1)
	s, err := fakes.StartRawServer(fakes.RawConfig{IDHeader: "X-Request-Id", Answer: func(int, string) fakes.RawAnswer {
		_ = (<-started).Close()
		return fakes.RawAnswer{Text: fakes.EarlyPart(engineFields), Close: true}
	}})
	assert.NilError(t, err)
	started <- s
	body, err := call(t, newRawAdapter(t), value.BackendServer{ID: "e-1", Address: "http://" + s.Address()}, "r-1")
	assert.Equal(t, body, "part")
	assert.ErrorIs(t, err, engine.ErrTruncated)
}
