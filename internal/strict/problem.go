package strict

import (
	"fmt"
	"strings"
)

// Problem is one error in a file. Line and Column count from 1; 0 means that the position is unknown.
type Problem struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Column  int    `json:"column"`
	Field   string `json:"field"`
	Message string `json:"message"`
}

// Error returns the problem with its position on one line.
func (p Problem) Error() string {
	field := p.Field
	if field != "" {
		field += ": "
	}
	return fmt.Sprintf("%s:%d:%d: %s%s", p.File, p.Line, p.Column, field, p.Message)
}

// Problems lists all problems of a file in order of position.
type Problems []Problem

// Error returns one line per problem.
func (p Problems) Error() string {
	lines := make([]string, len(p))
	for i := range p {
		lines[i] = p[i].Error()
	}
	return strings.Join(lines, "\n")
}
