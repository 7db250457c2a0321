package strict

import (
	"reflect"
	"strings"
)

// Field describes a struct field by its tags.
type Field struct {
	Index      int    // in the struct
	Name       string // in the file
	Optional   bool   // may be absent without a default
	Default    string
	HasDefault bool
	Unit       string
	Validate   string // validate tag
	Type       reflect.Type
}

// Fields returns the fields with a yaml tag of the struct type t, in order of declaration.
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
			Unit: f.Tag.Get("unit"), Validate: f.Tag.Get("validate"), Type: f.Type,
		})
	}
	return all
}

func findField(t reflect.Type, name string) (Field, bool) {
	for _, f := range Fields(t) {
		if f.Name == name {
			return f, true
		}
	}
	return Field{}, false
}

func fieldNames(t reflect.Type) string {
	var names []string
	for _, f := range Fields(t) {
		names = append(names, f.Name)
	}
	return strings.Join(names, ", ")
}
