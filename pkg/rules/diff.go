package rules

import (
	"fmt"
	"reflect"
	"slices"
	"strings"
	"time"

	"briarworks.example/briarworks/internal/strict"
)

// Change is one difference between two documents. Before or After is empty when the document on that side
// lacks the field or entry.
type Change struct {
	Path   string `json:"path"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// String returns the change on one line.
func (c Change) String() string {
	switch {
	case c.Before == "":
		return "+ " + c.Path + ": " + c.After
	case c.After == "":
		return "- " + c.Path + ": " + c.Before
	}
	return "~ " + c.Path + ": " + c.Before + " -> " + c.After
}

// Diff returns the differences between two documents. Named entries are compared by name, so their order is
// significant for ranks only.
func Diff(a, b *Document) (changes []Change) {
	changes = diffStruct("", reflect.ValueOf(*a), reflect.ValueOf(*b))
	before, after := rankNames(a), rankNames(b)
	if before != after {
		changes = append(changes, Change{"ranks", before, after})
	}
	return changes
}

func rankNames(d *Document) string {
	names := make([]string, len(d.Ranks))
	for i, r := range d.Ranks {
		names[i] = r.Name
	}
	return strings.Join(names, ", ")
}

func diffStruct(path string, a, b reflect.Value) (changes []Change) {
	for _, f := range strict.Fields(a.Type()) {
		at := f.Name
		if path != "" {
			at = path + "." + f.Name
		}
		x, y := a.Field(f.Index), b.Field(f.Index)
		switch {
		case f.Type == reflect.TypeFor[[]Rank]():
			// Diff compares the ranks as one list, because their order is significant.
		case f.Type.Kind() == reflect.Struct:
			changes = append(changes, diffStruct(at, x, y)...)
		case f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct:
			changes = append(changes, diffByName(at, x, y)...)
		default:
			if before, after := formatValue(x), formatValue(y); before != after {
				changes = append(changes, Change{at, before, after})
			}
		}
	}
	return changes
}

// diffByName compares two lists of structs by their Name field.
func diffByName(path string, a, b reflect.Value) (changes []Change) {
	before, after := indexByName(a), indexByName(b)
	for _, name := range unionNames(before, after) {
		x, inA := before[name]
		y, inB := after[name]
		at := path + "[" + name + "]"
		switch {
		case !inB:
			changes = append(changes, Change{Path: at, Before: formatValue(x)})
		case !inA:
			changes = append(changes, Change{Path: at, After: formatValue(y)})
		default:
			changes = append(changes, diffStruct(at, x, y)...)
		}
	}
	return changes
}

func indexByName(list reflect.Value) map[string]reflect.Value {
	entries := make(map[string]reflect.Value)
	for i := range list.Len() {
		entries[list.Index(i).FieldByName("Name").String()] = list.Index(i)
	}
	return entries
}

// unionNames returns the sorted keys of both maps.
func unionNames(a, b map[string]reflect.Value) (names []string) {
	for n := range a {
		names = append(names, n)
	}
	for n := range b {
		if _, ok := a[n]; !ok {
			names = append(names, n)
		}
	}
	slices.Sort(names)
	return names
}

// formatValue formats a value as it is written in a document.
func formatValue(v reflect.Value) string {
	if v.Type() == reflect.TypeFor[time.Duration]() {
		return formatDuration(time.Duration(v.Int()))
	}
	switch v.Kind() {
	case reflect.Slice:
		parts := make([]string, v.Len())
		for i := range parts {
			parts[i] = formatValue(v.Index(i))
		}
		slices.Sort(parts)
		return strings.Join(parts, ", ")
	case reflect.Struct:
		var parts []string
		for _, f := range strict.Fields(v.Type()) {
			parts = append(parts, f.Name+" "+formatValue(v.Field(f.Index)))
		}
		return strings.Join(parts, ", ")
	}
	return fmt.Sprint(v.Interface())
}
