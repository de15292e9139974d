package conf_test

import (
	"reflect"
	"slices"
	"testing"

	"gotest.tools/v3/assert"

	"endivehitch/core/value"
	"endivehitch/io/conf"
)

// pathsOf lists the fields of a type as paths of the document.
func pathsOf(prefix string, t reflect.Type) []string {
	var paths []string
	for f := range t.Fields() {
		at := prefix + f.Name
		paths = append(paths, at)
		switch {
		case f.Type.Kind() == reflect.Struct:
			paths = append(paths, pathsOf(at+".", f.Type)...)
		case f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct:
			paths = append(paths, pathsOf(at+"[].", f.Type.Elem())...)
		}
	}
	return paths
}

func TestFieldsListEveryFieldOfTheDocument(t *testing.T) {
	var listed []string
	for _, f := range conf.Fields() {
		listed = append(listed, f.Path)
	}
	want := pathsOf("", reflect.TypeFor[value.Document]())
	slices.Sort(listed)
	slices.Sort(want)
	assert.DeepEqual(t, listed, want)
}
