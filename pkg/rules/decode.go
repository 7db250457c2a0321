package rules

import (
	"slices"

	"github.com/samber/oops"

	"briarworks.example/briarworks/internal/strict"
)

// Problem is one problem of a document with its line and column.
type Problem = strict.Problem

// Problems is every problem of a document; errors of Decode wrap it.
type Problems = strict.Problems

// Decode parses and validates a document. The error wraps Problems, which lists every problem that was
// found. file is used only in the positions of problems.
func Decode(file string, text []byte) (d *Document, err error) {
	defer func() {
		if err != nil {
			d, err = nil, oops.In("rules").Wrapf(err, "rules")
		}
	}()
	d = new(Document)
	source := strict.Decode(file, text, int(MaxDocumentBytes), d)
	source.Validate(d)
	check(d, source)
	return d, source.Err()
}

func (d *Document) clone() *Document {
	c := *d
	c.DataCentres = slices.Clone(d.DataCentres)
	c.Services = slices.Clone(d.Services)
	for i := range c.Services {
		c.Services[i].DataCentres = slices.Clone(c.Services[i].DataCentres)
	}
	c.Ranks = slices.Clone(d.Ranks)
	c.Kinds = slices.Clone(d.Kinds)
	return &c
}
