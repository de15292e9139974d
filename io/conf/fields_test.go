package conf_test

import (
	"fmt"
	"os"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"endivehitch/io/conf"
)

func TestDocumentPageListsEveryField(t *testing.T) {
	page, err := os.ReadFile("../../docs/DOCUMENT.md")
	assert.NilError(t, err)
	var documented, have []string
	for line := range strings.Lines(string(page)) {
		if strings.HasPrefix(line, "| `") {
			cells := strings.Split(line, " | ")
			documented = append(documented, strings.Join(cells[:4], " | "))
			assert.Assert(t, len(cells[4]) > len(" |\n"), "no meaning: %s", line)
		}
	}
	for _, f := range conf.Fields() {
		needed := "no"
		if f.Required {
			needed = "yes"
		}
		have = append(have, fmt.Sprintf("| `%s` | %s | %s | %s", f.Path, f.Type, needed, f.Range))
	}
	assert.DeepEqual(t, documented, have)
}
