package strict

import (
	"reflect"
	"strings"
)

// Field describes one field of a struct by its tags.
type Field struct {
	Index      int
	Name       string
	Optional   bool // may be absent without a default
	Default    string
	HasDefault bool
	Unit       string
	Rule       string // validate tag
	Type       reflect.Type
}

// Fields returns the fields of a struct that has yaml tags, in order.
func Fields(t reflect.Type) (all []Field) {
	for i := range t.NumField() {
		f := t.Field(i)
		name, options, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		if name == "" || name == "-" {
			continue
		}
		value, ok := f.Tag.Lookup("default")
		all = append(all, Field{
			Index: i, Name: name, Optional: options == "omitempty", Default: value, HasDefault: ok,
			Unit: f.Tag.Get("unit"), Rule: f.Tag.Get("validate"), Type: f.Type,
		})
	}
	return all
}

func find(t reflect.Type, name string) (Field, bool) {
	for _, f := range Fields(t) {
		if f.Name == name {
			return f, true
		}
	}
	return Field{}, false
}

func known(t reflect.Type) string {
	var names []string
	for _, f := range Fields(t) {
		names = append(names, f.Name)
	}
	return strings.Join(names, ", ")
}
