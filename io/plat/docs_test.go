package plat_test

import (
	"io/fs"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// TestPagesNameTestsThatExist checks that the tests which the pages on failures cite are in the
// tree, so that a renamed or deleted test does not stay cited.
func TestPagesNameTestsThatExist(t *testing.T) {
	const root = "../.."
	var tests strings.Builder
	err := filepath.WalkDir(root, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, "_test.go") {
			return err
		}
		source, err := os.ReadFile(path)
		tests.Write(source)
		return err
	})
	assert.NilError(t, err)
	cited := regexp.MustCompile("`(Test[A-Za-z]+)`")
	for _, page := range []string{"STORE.md", "ONCE.md", "BILLS.md"} {
		text, err := os.ReadFile(filepath.Join(root, "docs", page))
		assert.NilError(t, err)
		for _, name := range cited.FindAllStringSubmatch(string(text), -1) {
			assert.Assert(t, strings.Contains(tests.String(), "func "+name[1]+"("), "%s cites %s", page, name[1])
		}
	}
}
