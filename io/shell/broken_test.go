package shell_test

import (
	"maps"
	"testing"

	"gotest.tools/v3/assert"

	"endivehitch/io/fakes"
	"endivehitch/io/shell/exit"
)

// Guards against an operator who is shown bytes that are no answer as the state of an instance.
func TestStatusOfABrokenAnswerIsUnavailable(t *testing.T) {
	broken := fakes.BrokenStatusLines("")
	maps.Copy(broken, fakes.BrokenFields(""))
	maps.Copy(broken, fakes.BrokenTrailers(""))
	for name, text := range broken {
		t.Run(name, func(t *testing.T) {
			server, err := fakes.StartRawServer(fakes.RawConfig{IDHeader: "X-Unused", Answer: func(int, string) fakes.RawAnswer {
				return fakes.RawAnswer{Text: text, Close: true}
			}})
			assert.NilError(t, err)
			t.Cleanup(func() { assert.NilError(t, server.Close()) })
			out, code := runLine(t, "status --key k --instance http://"+server.Address())
			assert.Equal(t, code, exit.Unavailable, out)
		})
	}
}
