package shape_test

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"endivehitch/core/shape"
)

const root = "../.."

type source struct {
	path string
	file *ast.File
}

func parseSources(t *testing.T) []source {
	t.Helper()
	var all []source
	err := filepath.WalkDir(root, func(path string, d fs.DirEntry, err error) error {
		if err != nil {
			return err
		}
		if d.IsDir() && strings.HasPrefix(d.Name(), ".") && path != root {
			return filepath.SkipDir
		}
		if !strings.HasSuffix(path, ".go") {
			return nil
		}
		f, err := parser.ParseFile(token.NewFileSet(), path, nil, parser.ParseComments)
		if err != nil {
			return err
		}
		rel, err := filepath.Rel(root, path)
		all = append(all, source{path: filepath.ToSlash(rel), file: f})
		return err
	})
	assert.NilError(t, err)
	return all
}

func isTest(path string) bool {
	return strings.HasSuffix(path, "_test.go")
}

func TestCoreImportsNoIO(t *testing.T) {
	for _, s := range parseSources(t) {
		if isTest(s.path) || !shape.IsInCore("endivehitch/"+s.path) {
			continue
		}
		for _, i := range s.file.Imports {
			path := strings.Trim(i.Path.Value, `"`)
			assert.Assert(t, !shape.IsForbiddenInCore(path), "%s imports %s", s.path, path)
		}
	}
}

func TestNoClockInCoreAndNoSleepInProduct(t *testing.T) {
	for _, s := range parseSources(t) {
		if isTest(s.path) {
			continue
		}
		inCore := shape.IsInCore("endivehitch/" + s.path)
		ast.Inspect(s.file, func(n ast.Node) bool {
			sel, ok := n.(*ast.SelectorExpr)
			if !ok {
				return true
			}
			pkg, ok := sel.X.(*ast.Ident)
			if !ok || pkg.Name != "time" || pkg.Obj != nil {
				return true
			}
			assert.Assert(t, sel.Sel.Name != "Sleep", "%s calls time.Sleep", s.path)
			assert.Assert(t, !inCore || !shape.ReadsClock(sel.Sel.Name), "%s calls time.%s", s.path, sel.Sel.Name)
			return true
		})
	}
}

func TestTestPackagesAreExternal(t *testing.T) {
	for _, s := range parseSources(t) {
		if !isTest(s.path) {
			continue
		}
		assert.Assert(t, strings.HasSuffix(s.file.Name.Name, "_test"), "%s is in package %s", s.path, s.file.Name.Name)
		assert.Assert(t, !strings.HasSuffix(s.path, "export_test.go"), "%s gives tests access to unexported names", s.path)
	}
}

func TestPackagesHaveAllowedNamesAndDocFiles(t *testing.T) {
	for _, s := range parseSources(t) {
		if isTest(s.path) {
			continue
		}
		name := s.file.Name.Name
		assert.Assert(t, shape.IsAllowedPackageName(name), "%s: package name %s", s.path, name)
		if name == "main" {
			continue
		}
		doc := filepath.Join(root, filepath.Dir(s.path), "doc.go")
		_, err := os.Stat(doc)
		assert.NilError(t, err, "package of %s has no doc.go", s.path)
	}
}

func TestOnlyThePlatformFolderMentionsThePlatform(t *testing.T) {
	for _, s := range parseSources(t) {
		if isTest(s.path) || shape.IsInPlatform(s.path) || strings.HasPrefix(s.path, "core/shape/") {
			continue
		}
		ast.Inspect(s.file, func(n ast.Node) bool {
			if l, ok := n.(*ast.BasicLit); ok && l.Kind == token.STRING {
				assert.Assert(t, !shape.MentionsPlatform(l.Value), "%s names %s", s.path, l.Value)
			}
			return true
		})
	}
}

func TestRulesRejectForbiddenImportsNamesAndClockCalls(t *testing.T) {
	assert.Assert(t, shape.IsForbiddenInCore("net/http"))
	assert.Assert(t, shape.IsForbiddenInCore("encoding/json"))
	assert.Assert(t, shape.IsForbiddenInCore("endivehitch/io/plat"))
	assert.Assert(t, !shape.IsForbiddenInCore("endivehitch/core/value"))
	assert.Assert(t, !shape.IsAllowedPackageName("cli"))
	assert.Assert(t, !shape.IsAllowedPackageName("balancer"))
	assert.Assert(t, shape.MentionsPlatform("X-Endivehitch-Attempt-Id"))
	assert.Assert(t, !shape.MentionsPlatform("Endivehitch-Kind"))
	assert.Assert(t, shape.ReadsClock("Now"))
	assert.Assert(t, !shape.ReadsClock("Duration"))
}
