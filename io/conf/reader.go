package conf

import (
	"fmt"
	"reflect"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// reader decodes a syntax tree into wire types. It continues after a fault, so that all faults are
// reported at once.
type reader struct {
	faults Faults
	// lines maps the path of each value to its line, for the checks that follow.
	lines map[string]int
}

// addFault records a fault; an empty text means that there is none.
func (r *reader) addFault(path string, line int, what string) {
	if what != "" {
		r.faults = append(r.faults, Fault{Path: path, Line: line, What: what})
	}
}

// readTree decodes the tree into a T; a value with a fault may be left out.
func readTree[T any](r *reader, n ast.Node) T {
	var v T
	r.readValue(n, "", reflect.ValueOf(&v).Elem(), rules{})
	return v
}

func (r *reader) readValue(n ast.Node, path string, into reflect.Value, rule rules) {
	r.lines[path] = lineOf(n)
	switch into.Kind() {
	case reflect.Struct:
		r.readObject(n, path, into)
	case reflect.Slice:
		r.readList(n, path, into, rule)
	default:
		r.readScalar(n, path, into, rule)
	}
}

func (r *reader) readObject(n ast.Node, path string, into reflect.Value) {
	pairs, ok := pairsOf(n)
	if !ok {
		r.addFault(path, lineOf(n), "must be a group of fields, not "+describeNode(n))
		return
	}
	seen := make(map[string]int, len(pairs))
	for _, pair := range pairs {
		name := pair.Key.GetToken().Value
		line := pair.Key.GetToken().Position.Line
		at := joinPath(path, name)
		if first, duplicate := seen[name]; duplicate {
			r.addFault(at, line, fmt.Sprintf("is stated twice, first in line %d", first))
			continue
		}
		seen[name] = line
		field, known := into.Type().FieldByName(name)
		if !known {
			r.addFault(at, line, "is no field of the document")
			continue
		}
		r.readValue(pair.Value, at, into.FieldByIndex(field.Index), rulesOf(field))
	}
	for f := range into.Type().Fields() {
		if _, stated := seen[f.Name]; rulesOf(f).required && !stated {
			r.addFault(joinPath(path, f.Name), lineOf(n), "is missing")
		}
	}
}

func (r *reader) readList(n ast.Node, path string, into reflect.Value, rule rules) {
	sequence, ok := n.(*ast.SequenceNode)
	if !ok {
		r.addFault(path, lineOf(n), "must be a list, not "+describeNode(n))
		return
	}
	r.addFault(path, lineOf(n), rule.checkLength(len(sequence.Values)))
	items := reflect.MakeSlice(into.Type(), len(sequence.Values), len(sequence.Values))
	for i, v := range sequence.Values {
		r.readValue(v, fmt.Sprintf("%s[%d]", path, i), items.Index(i), rules{format: rule.format})
	}
	into.Set(items)
}

func (r *reader) readScalar(n ast.Node, path string, into reflect.Value, rule rules) {
	problem := ""
	switch {
	case into.Type() == durationType:
		problem = setDuration(n, into, rule)
	case into.Kind() == reflect.String:
		problem = setText(n, into, rule)
	case into.Kind() == reflect.Bool:
		problem = setBool(n, into)
	case into.Kind() == reflect.Float64:
		problem = setFloat(n, into, rule)
	default:
		problem = setInt(n, into, rule)
	}
	r.addFault(path, lineOf(n), problem)
}

// The set functions decode a scalar into a field, and return what is wrong with it, or nothing.

func setDuration(n ast.Node, into reflect.Value, rule rules) string {
	s, ok := n.(*ast.StringNode)
	if !ok {
		return "must be a duration such as 500ms or 2m, not " + describeNode(n)
	}
	d, err := time.ParseDuration(s.Value)
	if err != nil {
		return fmt.Sprintf("%q is no duration such as 500ms or 2m", s.Value)
	}
	into.SetInt(int64(d))
	return rule.checkDuration(d)
}

func setText(n ast.Node, into reflect.Value, rule rules) string {
	s, ok := textOf(n)
	if !ok {
		return "must be text, not " + describeNode(n)
	}
	into.SetString(s)
	return rule.checkText(s)
}

func setBool(n ast.Node, into reflect.Value) string {
	b, ok := n.(*ast.BoolNode)
	if !ok {
		return "must be true or false, not " + describeNode(n)
	}
	into.SetBool(b.Value)
	return ""
}

func setFloat(n ast.Node, into reflect.Value, rule rules) string {
	f, ok := numberOf(n)
	if !ok {
		return "must be a number, not " + describeNode(n)
	}
	into.SetFloat(f)
	return rule.checkNumber(f)
}

func setInt(n ast.Node, into reflect.Value, rule rules) string {
	if _, ok := n.(*ast.IntegerNode); !ok {
		return "must be a whole number, not " + describeNode(n)
	}
	f, _ := numberOf(n)
	if problem := rule.checkNumber(f); problem != "" {
		return problem
	}
	into.SetInt(int64(f))
	return ""
}
