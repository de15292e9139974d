package engine_test

import (
	"errors"
	"io"
	"testing"

	"gotest.tools/v3/assert"

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
				isComplete := errors.Is(err, io.EOF) && !errors.Is(err, engine.ErrTruncated) && !errors.Is(err, io.ErrUnexpectedEOF)
				assert.Assert(t, err != nil && !isComplete && !errors.As(err, &failed), "passed with the body %q and %v", body, err)
			})
		}
	}
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
