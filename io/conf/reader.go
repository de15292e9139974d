package conf

import (
	"fmt"
	"reflect"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// reader turns a syntax tree into wire types; it goes on after a fault, so that all are named.
type reader struct {
	faults Faults
	// lines holds the line of each path, for the checks that follow.
	lines map[string]int
}

func (r *reader) fault(path string, line int, what string) {
	if what != "" {
		r.faults = append(r.faults, Fault{Path: path, Line: line, What: what})
	}
}

// read returns the tree as a T, as far as it is sound.
func read[T any](r *reader, n ast.Node) T {
	var v T
	r.value(n, "", reflect.ValueOf(&v).Elem(), rules{})
	return v
}

func (r *reader) value(n ast.Node, path string, into reflect.Value, rule rules) {
	r.lines[path] = lineOf(n)
	switch into.Kind() {
	case reflect.Struct:
		r.object(n, path, into)
	case reflect.Slice:
		r.list(n, path, into, rule)
	default:
		r.scalar(n, path, into, rule)
	}
}

func (r *reader) object(n ast.Node, path string, into reflect.Value) {
	pairs, ok := pairsOf(n)
	if !ok {
		r.fault(path, lineOf(n), "must be a group of fields, not "+kindOf(n))
		return
	}
	seen := make(map[string]int, len(pairs))
	for _, p := range pairs {
		name := p.Key.GetToken().Value
		line := p.Key.GetToken().Position.Line
		at := join(path, name)
		if first, twice := seen[name]; twice {
			r.fault(at, line, fmt.Sprintf("is stated twice, first in line %d", first))
			continue
		}
		seen[name] = line
		f, known := into.Type().FieldByName(name)
		if !known {
			r.fault(at, line, "is no field of the document")
			continue
		}
		r.value(p.Value, at, into.FieldByIndex(f.Index), rulesOf(f))
	}
	for f := range into.Type().Fields() {
		if _, stated := seen[f.Name]; rulesOf(f).need && !stated {
			r.fault(join(path, f.Name), lineOf(n), "is missing")
		}
	}
}

func (r *reader) list(n ast.Node, path string, into reflect.Value, rule rules) {
	seq, ok := n.(*ast.SequenceNode)
	if !ok {
		r.fault(path, lineOf(n), "must be a list, not "+kindOf(n))
		return
	}
	r.fault(path, lineOf(n), rule.checkLength(len(seq.Values)))
	list := reflect.MakeSlice(into.Type(), len(seq.Values), len(seq.Values))
	for i, v := range seq.Values {
		r.value(v, fmt.Sprintf("%s[%d]", path, i), list.Index(i), rules{form: rule.form})
	}
	into.Set(list)
}

func (r *reader) scalar(n ast.Node, path string, into reflect.Value, rule rules) {
	what := ""
	switch {
	case into.Type() == durationType:
		what = setDuration(n, into, rule)
	case into.Kind() == reflect.String:
		what = setText(n, into, rule)
	case into.Kind() == reflect.Bool:
		what = setBool(n, into)
	case into.Kind() == reflect.Float64:
		what = setFloat(n, into, rule)
	default:
		what = setInt(n, into, rule)
	}
	r.fault(path, lineOf(n), what)
}

func setDuration(n ast.Node, into reflect.Value, rule rules) string {
	s, ok := n.(*ast.StringNode)
	if !ok {
		return "must be a duration such as 500ms or 2m, not " + kindOf(n)
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
		return "must be text, not " + kindOf(n)
	}
	into.SetString(s)
	return rule.checkText(s)
}

func setBool(n ast.Node, into reflect.Value) string {
	b, ok := n.(*ast.BoolNode)
	if !ok {
		return "must be true or false, not " + kindOf(n)
	}
	into.SetBool(b.Value)
	return ""
}

func setFloat(n ast.Node, into reflect.Value, rule rules) string {
	f, ok := numberOf(n)
	if !ok {
		return "must be a number, not " + kindOf(n)
	}
	into.SetFloat(f)
	return rule.checkNumber(f)
}

func setInt(n ast.Node, into reflect.Value, rule rules) string {
	if _, ok := n.(*ast.IntegerNode); !ok {
		return "must be a whole number, not " + kindOf(n)
	}
	f, _ := numberOf(n)
	if what := rule.checkNumber(f); what != "" {
		return what
	}
	into.SetInt(int64(f))
	return ""
}
