package conf

import "reflect"

// Field describes one field of the document.
type Field struct {
	// Path leads to the field, such as "Kinds[].Deadline".
	Path string
	// Type is Text, Number, Integer, Duration, Flag, List or Group.
	Type string
	// Needed is set where the field must be stated.
	Needed bool
	// Range is the least and greatest value or length, such as "0..1", or empty.
	Range string
}

// Fields lists all fields of the document in the order of the format.
func Fields() []Field {
	return fieldsOf("", reflect.TypeFor[wireDocument]())
}

func fieldsOf(path string, t reflect.Type) []Field {
	var all []Field
	for f := range t.Fields() {
		at := join(path, f.Name)
		all = append(all, Field{
			Path:   at,
			Type:   typeName(f.Type),
			Needed: rulesOf(f).need,
			Range:  f.Tag.Get("range"),
		})
		switch {
		case f.Type.Kind() == reflect.Struct:
			all = append(all, fieldsOf(at, f.Type)...)
		case f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct:
			all = append(all, fieldsOf(at+"[]", f.Type.Elem())...)
		}
	}
	return all
}

func typeName(t reflect.Type) string {
	if t == durationType {
		return "Duration"
	}
	switch t.Kind() {
	case reflect.String:
		return "Text"
	case reflect.Bool:
		return "Flag"
	case reflect.Float64:
		return "Number"
	case reflect.Slice:
		return "List"
	case reflect.Struct:
		return "Group"
	}
	return "Integer"
}
