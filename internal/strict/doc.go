// Package strict decodes YAML files written by operators into structs. It reports all problems of a file at
// once, each with file, line, column and field.
//
// A field is required unless its tag has omitempty or a default. Unknown and duplicate fields, wrong types,
// durations without a unit, anchors and several documents in a file are problems. Validate tags hold the
// bounds of single fields; Source.AddProblem reports the problems of checks over several fields.
package strict
