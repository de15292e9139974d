package conf

import "reflect"

// Field describes one field of the document.
type Field struct {
	// Path is the path of the field, such as "Kinds[].Deadline".
	Path string
	// Type is Text, Number, Integer, Duration, Flag, List or Group.
	Type string
	// Required is set if the field is required.
	Required bool
	// Range is the minimum and maximum of the value, or of the length of a list, such as "0..1"; it
	// is empty if there is no limit.
	Range string
}

// Fields lists all fields of the document in the order of the format.
func Fields() []Field {
	return fieldsOf("", reflect.TypeFor[wireDocument]())
}

func fieldsOf(path string, t reflect.Type) []Field {
	var all []Field
	for field := range t.Fields() {
		at := joinPath(path, field.Name)
		all = append(all, Field{
			Path:     at,
			Type:     typeName(field.Type),
			Required: rulesOf(field).required,
			Range:    field.Tag.Get("range"),
		})
		switch {
		case field.Type.Kind() == reflect.Struct:
			all = append(all, fieldsOf(at, field.Type)...)
		case field.Type.Kind() == reflect.Slice && field.Type.Elem().Kind() == reflect.Struct:
			all = append(all, fieldsOf(at+"[]", field.Type.Elem())...)
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
