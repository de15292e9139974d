package stats_test

import (
	"fmt"
	"go/ast"
	"go/parser"
	"go/token"
	"maps"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"endivehitch/io/stats"
)

func TestPageListsEveryMetric(t *testing.T) {
	var want []string
	for _, m := range stats.Table() {
		labels := ""
		if len(m.Labels) > 0 {
			labels = "`" + strings.Join(m.Labels, "`, `") + "` "
		}
		want = append(want, fmt.Sprintf("| `%s` | %s | %s | %s| %s |", m.Name, m.Type, m.Unit, labels, m.Meaning))
	}
	assert.DeepEqual(t, tableRows(t, "METRICS.md", "## Metrics"), want)
}

func TestPageListsEveryLogLine(t *testing.T) {
	var listed []string
	for _, row := range tableRows(t, "METRICS.md", "## Log lines") {
		listed = append(listed, strings.Split(row, "`")[1])
	}
	slices.Sort(listed)
	assert.DeepEqual(t, listed, logLines(t))
}

func TestPageListsEveryRefusal(t *testing.T) {
	var listed []string
	for _, row := range tableRows(t, "FAULTS.md", "## Refusals") {
		listed = append(listed, strings.Split(row, "`")[1])
	}
	slices.Sort(listed)
	refusals := constants([]*ast.File{parse(t, "../../core/value/refusal.go")}, "Reason")
	slices.Sort(refusals)
	assert.DeepEqual(t, listed, refusals)
}

// tableRows returns the rows under the page's heading that begin with a name in backquotes.
func tableRows(t *testing.T, page, heading string) []string {
	t.Helper()
	text, err := os.ReadFile("../../docs/" + page)
	assert.NilError(t, err)
	_, after, ok := strings.Cut(string(text), heading+"\n")
	assert.Assert(t, ok, "no %s", heading)
	section, _, _ := strings.Cut(after, "\n## ")
	var found []string
	for line := range strings.Lines(section) {
		if strings.HasPrefix(line, "| `") {
			found = append(found, strings.TrimSpace(line))
		}
	}
	return found
}

func parse(t *testing.T, path string) *ast.File {
	t.Helper()
	f, err := parser.ParseFile(token.NewFileSet(), path, nil, 0)
	assert.NilError(t, err)
	return f
}

// logLines returns the messages of all log lines that the code can write, sorted, as found in its
// syntax trees.
func logLines(t *testing.T) []string {
	t.Helper()
	packages := make(map[string][]*ast.File)
	for _, root := range []string{"../../core", "../../io", "../../platform"} {
		assert.NilError(t, filepath.WalkDir(root, func(path string, _ os.DirEntry, err error) error {
			if strings.HasSuffix(path, ".go") && !strings.HasSuffix(path, "_test.go") {
				packages[filepath.Dir(path)] = append(packages[filepath.Dir(path)], parse(t, path))
			}
			return err
		}))
	}
	found := make(map[string]bool)
	for _, files := range packages {
		s := messageScan{t: t, files: files, values: packages["../../core/value"]}
		for _, text := range s.messages() {
			found[text] = true
		}
	}
	for _, text := range constants(packages["../../io/proxy"], "DecisionKind") {
		found[text] = true
	}
	return slices.Sorted(maps.Keys(found))
}

// messageScan finds the log messages of one package.
type messageScan struct {
	t *testing.T
	// files are the files of the package, and values those of core/value.
	files, values []*ast.File
}

func (s messageScan) messages() []string {
	var found []string
	for _, f := range s.files {
		for _, decl := range f.Decls {
			ast.Inspect(decl, func(n ast.Node) bool {
				switch n := n.(type) {
				case *ast.CallExpr:
					found = append(found, loggedMessages(n)...)
				case *ast.CompositeLit:
					found = append(found, s.eventNames(decl, n)...)
				}
				return true
			})
		}
	}
	return found
}

// loggedMessages returns the message of a call such as log.Warn("Message"), and nothing for other
// calls.
func loggedMessages(c *ast.CallExpr) []string {
	sel, ok := c.Fun.(*ast.SelectorExpr)
	if !ok || !slices.Contains([]string{"Debug", "Info", "Warn", "Error"}, sel.Sel.Name) || len(c.Args) == 0 {
		return nil
	}
	return literals(c.Args[0])
}

// eventNames returns the event names that a RecordDecision literal can have, and nothing for other
// literals. The event is the first field of the literal; its expression may take four forms.
func (s messageScan) eventNames(in ast.Decl, c *ast.CompositeLit) []string {
	if sel, ok := c.Type.(*ast.SelectorExpr); !ok || sel.Sel.Name != "RecordDecision" {
		return nil
	}
	var found []string
	switch event := c.Elts[0].(*ast.KeyValueExpr).Value.(type) {
	case *ast.BasicLit:
		found = literals(event)
	case *ast.BinaryExpr:
		// A prefix and a state: every constant of the type that is named after the prefix.
		prefix := literals(event.X)[0]
		for _, st := range constants(s.values, prefix+"State") {
			found = append(found, prefix+st)
		}
	case *ast.Ident:
		// A parameter of the enclosing function: the literals that its callers pass.
		found = s.literalsWithin(func(n ast.Node) bool {
			call, ok := n.(*ast.CallExpr)
			return ok && strings.HasSuffix(selectedName(call.Fun), in.(*ast.FuncDecl).Name.Name)
		})
	case *ast.CallExpr:
		// The result of a function: the literals in that function.
		found = s.literalsWithin(func(n ast.Node) bool {
			f, ok := n.(*ast.FuncDecl)
			return ok && f.Name.Name == selectedName(event.Fun)
		})
	}
	assert.Assert(s.t, len(found) > 0, "no event name found for a RecordDecision in package %s", s.files[0].Name)
	return found
}

// literalsWithin returns the string literals inside the nodes of the package that match.
func (s messageScan) literalsWithin(match func(ast.Node) bool) []string {
	var found []string
	for _, f := range s.files {
		ast.Inspect(f, func(n ast.Node) bool {
			if n != nil && match(n) {
				found = append(found, literals(n)...)
			}
			return true
		})
	}
	return found
}

// selectedName returns the name of a function without its package or receiver.
func selectedName(e ast.Expr) string {
	if sel, ok := e.(*ast.SelectorExpr); ok {
		return sel.Sel.Name
	}
	return fmt.Sprint(e)
}

// literals returns the values of the string literals inside the node.
func literals(in ast.Node) []string {
	var found []string
	ast.Inspect(in, func(n ast.Node) bool {
		if l, ok := n.(*ast.BasicLit); ok && l.Kind == token.STRING {
			text, _ := strconv.Unquote(l.Value)
			found = append(found, text)
		}
		return true
	})
	return found
}

// constants returns the values of the constants of the named type.
func constants(files []*ast.File, typeName string) []string {
	var found []string
	for _, f := range files {
		ast.Inspect(f, func(n ast.Node) bool {
			if v, ok := n.(*ast.ValueSpec); ok && v.Type != nil && fmt.Sprint(v.Type) == typeName {
				found = append(found, literals(v)...)
			}
			return true
		})
	}
	return found
}
