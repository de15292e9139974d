package hangup_test

import (
	"os/exec"
	"path/filepath"
	"regexp"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// initLine matches what the runtime prints for the initialisation of a package.
var initLine = regexp.MustCompile(`(?m)^init (\S+) @`)

// Guards against a process that SIGHUP ends because it catches the signal only after other packages are initialised.
func TestSignalIsCaughtAsSoonAsTheProcessCanCatchIt(t *testing.T) {
	program := filepath.Join(t.TempDir(), "endivehitch")
	out, err := exec.Command("go", "build", "-o", program, "endivehitch").CombinedOutput()
	assert.NilError(t, err, string(out))
	cmd := exec.Command(program, "--help")
	cmd.Env = append(cmd.Environ(), "GODEBUG=inittrace=1")
	out, err = cmd.CombinedOutput()
	assert.NilError(t, err, string(out))
	var packages []string
	for _, match := range initLine.FindAllStringSubmatch(string(out), -1) {
		packages = append(packages, match[1])
	}
	caught := slices.Index(packages, "endivehitch/io/hangup")
	assert.Assert(t, caught > 0, "%v", packages)
	assert.Equal(t, packages[caught-1], "os/signal", "it must come as soon as signals can be caught")
}
