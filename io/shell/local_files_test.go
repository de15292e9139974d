package shell_test

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"endivehitch/io/shell"
	"endivehitch/io/shell/exit"
	"endivehitch/platform/boot"
)

func TestExplainPrintsTheDecisionsOfALogFile(t *testing.T) {
	path := filepath.Join(t.TempDir(), "log")
	text := `1.5 edge-1 {"Level":"info","Time":"t1","Message":"RunFailed","Request":"q1","Reason":"Slow"}
{"Level":"info","Time":"t2","Message":"Answered","Request":"q1","Status":200}
{"Level":"info","Time":"t3","Message":"Answered","Request":"q2"}
not a line of ours, about q1
`
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	var out bytes.Buffer
	assert.NilError(t, shell.Run(t.Context(), []string{"endivehitch", "explain", "--log", path, "q1"}, &out, &out))
	assert.Equal(t, out.String(), "1.5 edge-1 t1 RunFailed Reason=Slow\nt2 Answered Status=200\n")
	err := shell.Run(t.Context(), []string{"endivehitch", "explain", "--log", path, "q9"}, &out, &out)
	assert.ErrorContains(t, err, "q9")
}

func TestCheckAndEdgeNameTheInvalidSetting(t *testing.T) {
	path := filepath.Join(t.TempDir(), "local.toml")
	assert.NilError(t, os.WriteFile(path, []byte("nodeName = \"n\"\n"), 0o600))
	for _, args := range [][]string{{"endivehitch", "check", path}, {"endivehitch", "edge", "--settings", path}} {
		var out bytes.Buffer
		err := shell.Run(t.Context(), args, &out, &out)
		assert.ErrorIs(t, err, boot.ErrSettings)
		assert.ErrorContains(t, err, "listenAddresses.frontend")
		assert.Equal(t, exit.CodeOf(err), exit.Faults)
		assert.Assert(t, !strings.Contains(out.String(), "sound"))
	}
}
