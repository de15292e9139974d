package shell_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"endivehitch/io/fakes"
	"endivehitch/io/shell/exit"
)

// Guards against an operator who is shown bytes that are no answer as the state of an instance.
func TestStatusOfABrokenAnswerIsUnavailable(t *testing.T) {
	for name, text := range fakes.BrokenAnswers("") {
		t.Run(name, func(t *testing.T) {
			server, err := fakes.StartTextServer(text)
			assert.NilError(t, err)
			t.Cleanup(func() { assert.NilError(t, server.Close()) })
			out, code := runLine(t, "status --key k --instance http://"+server.Address())
			assert.Equal(t, code, exit.Unavailable, out)
		})
	}
}
