package strict

import (
	"fmt"
	"strings"
)

// Problem is one fault in a file. Line and Column count from 1; 0 means that the place is not known.
type Problem struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Field   string `json:"field"`
	Message string `json:"message"`
}

// Error returns the problem with its place on one line.
func (p Problem) Error() string {
	field := p.Field
	if field != "" {
		field += ": "
	}
	return fmt.Sprintf("%s:%d:%d: %s%s", p.File, p.Line, p.Column, field, p.Message)
}

// Problems is every fault of one file in the order of the places.
type Problems []Problem

// Error returns one line for each problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].Error()
	}
	return strings.Join(lines, "\n")
}
