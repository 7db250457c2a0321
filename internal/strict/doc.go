// Package strict reads YAML files of operators into structs and reports every problem at once, each
// with file, line, column and field.
//
// A field is required unless its tag has omitempty or a default. Unknown fields, repeated fields,
// wrong types, durations without a unit, anchors and several documents in a file are problems. Bounds
// are given by validate tags. Source.Add takes the checks that need more than one field.
package strict
