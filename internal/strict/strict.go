package strict

import (
	"cmp"
	"fmt"
	"math"
	"reflect"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/lexer"
	"github.com/goccy/go-yaml/parser"
	"github.com/goccy/go-yaml/token"
)

// place is a position in the file, both numbers from 1.
type place struct{ line, column int }

// maxNesting bounds flow collections, and sequences that begin on one line. The time of the parser
// grows with the square of this depth, so without a bound a document could stop a node for minutes.
const maxNesting = 32

// Source is a file that was read, with the places of its fields and the problems found so far.
type Source struct {
	file     string
	places   map[string]place
	faulty   map[string]bool
	around   map[string]bool // fields that have a faulty one in them
	problems Problems
}

// Read parses text of at most limit bytes into dst, a pointer to a struct. It always returns a source;
// Err tells whether dst can be used.
func Read(file string, text []byte, limit int, dst any) *Source {
	s := &Source{file: file, places: make(map[string]place), faulty: make(map[string]bool), around: make(map[string]bool)}
	s.places[""] = place{1, 1}
	if len(text) > limit {
		s.Add("", "file has %d bytes, at most %d are allowed", len(text), limit)
		return s
	}
	tokens := lexer.Tokenize(string(text))
	if tk := tooDeep(tokens); tk != nil {
		s.at("", tk, "nested deeper than %d levels", maxNesting)
		return s
	}
	parsed, err := parser.Parse(tokens, 0)
	if err != nil {
		s.syntax(err)
		return s
	}
	var body ast.Node
	for _, d := range parsed.Docs {
		if d.Body == nil {
			continue
		}
		if body != nil {
			s.at("", d.Body.GetToken(), "file holds more than one document")
			return s
		}
		body = d.Body
	}
	if body == nil {
		s.Add("", "file is empty")
		return s
	}
	s.value(body, reflect.ValueOf(dst).Elem(), "")
	return s
}

// tooDeep returns the token at which the nesting exceeds the bound, or nil.
func tooDeep(tokens token.Tokens) *token.Token {
	flow, entries, line := 0, 0, 0
	for _, tk := range tokens {
		if at := position(tk).line; at != line {
			entries, line = 0, at
		}
		switch tk.Type {
		case token.SequenceStartType, token.MappingStartType:
			flow++
		case token.SequenceEndType, token.MappingEndType:
			flow--
		case token.SequenceEntryType:
			entries++
		}
		if flow > maxNesting || entries > maxNesting {
			return tk
		}
	}
	return nil
}

// Add reports a problem at a field, as in "services[2].slots"; the place is that of the field, or of
// the nearest one around it that the file has.
func (s *Source) Add(field, format string, args ...any) {
	p := s.nearest(field)
	s.add(field, p, fmt.Sprintf(format, args...))
}

// Faulty reports whether a problem was reported at the field, in it or around it; checks over several
// fields use it so that one fault is not reported twice.
func (s *Source) Faulty(field string) bool {
	for f := field; ; f = parent(f) {
		if s.faulty[f] {
			return true
		}
		if f == "" {
			break
		}
	}
	return s.around[field]
}

// Err returns the problems as Problems, or nil when there are none.
func (s *Source) Err() error {
	if len(s.problems) == 0 {
		return nil
	}
	sorted := slices.Clone(s.problems)
	slices.SortStableFunc(sorted, func(a, b Problem) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	return sorted
}

func (s *Source) add(field string, p place, message string) {
	s.faulty[field] = true
	for f := field; f != ""; {
		f = parent(f)
		s.around[f] = true
	}
	s.problems = append(s.problems, Problem{File: s.file, Line: p.line, Column: p.column, Field: field, Message: message})
}

func (s *Source) at(field string, tk *token.Token, format string, args ...any) {
	s.add(field, position(tk), fmt.Sprintf(format, args...))
}

func (s *Source) nearest(field string) place {
	for f := field; ; f = parent(f) {
		if p, ok := s.places[f]; ok {
			return p
		}
	}
}

func parent(field string) string {
	return field[:max(strings.LastIndexAny(field, ".["), 0)]
}

func position(tk *token.Token) place {
	if tk == nil || tk.Position == nil {
		return place{1, 1}
	}
	return place{max(tk.Position.Line, 1), max(tk.Position.Column, 1)}
}

func (s *Source) syntax(err error) {
	var y yaml.Error
	if e, ok := err.(yaml.Error); ok {
		y = e
	}
	if y == nil {
		s.Add("", "not valid YAML: %v", err)
		return
	}
	s.at("", y.GetToken(), "not valid YAML: %s", y.GetMessage())
}

// value stores a node in dst and records problems at field.
func (s *Source) value(n ast.Node, dst reflect.Value, field string) {
	switch n.(type) {
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode, *ast.MergeKeyNode:
		s.at(field, n.GetToken(), "anchors, aliases, tags and merge keys are not allowed")
		return
	case *ast.NullNode:
		s.at(field, n.GetToken(), "has no value, want %s", wanted(dst.Type()))
		return
	}
	if dst.Type() == reflect.TypeFor[time.Duration]() {
		s.duration(n, dst, field)
		return
	}
	switch dst.Kind() {
	case reflect.Struct:
		s.structure(n, dst, field)
	case reflect.Slice:
		s.list(n, dst, field)
	default:
		s.scalar(n, dst, field)
	}
}

func wanted(t reflect.Type) string {
	if t == reflect.TypeFor[time.Duration]() {
		return "a duration with a unit, as in 1500ms, 2s or 48h"
	}
	switch t.Kind() {
	case reflect.Struct:
		return "a mapping of fields"
	case reflect.Slice:
		return "a list"
	case reflect.Bool:
		return "true or false"
	case reflect.String:
		return "text"
	case reflect.Float64:
		return "a number"
	}
	return "a whole number"
}

func (s *Source) mismatch(n ast.Node, dst reflect.Value, field string) {
	s.at(field, n.GetToken(), "got %s, want %s", describe(n), wanted(dst.Type()))
}

func describe(n ast.Node) string {
	switch n.(type) {
	case *ast.MappingNode, *ast.MappingValueNode:
		return "a mapping"
	case *ast.SequenceNode:
		return "a list"
	}
	v := n.String()
	if len(v) > 40 {
		v = v[:40] + "..."
	}
	return strconv.Quote(v)
}

func text(n ast.Node) (string, bool) {
	switch n := n.(type) {
	case *ast.StringNode:
		return n.Value, true
	case *ast.LiteralNode:
		if n.Value == nil {
			return "", true
		}
		return n.Value.Value, true
	}
	return "", false
}

func (s *Source) duration(n ast.Node, dst reflect.Value, field string) {
	v, ok := text(n)
	if !ok {
		s.mismatch(n, dst, field)
		return
	}
	d, err := time.ParseDuration(v)
	if err != nil {
		s.mismatch(n, dst, field)
		return
	}
	dst.SetInt(int64(d))
}

func (s *Source) scalar(n ast.Node, dst reflect.Value, field string) {
	switch dst.Kind() {
	case reflect.String:
		if v, ok := text(n); ok {
			dst.SetString(v)
			return
		}
	case reflect.Bool:
		if b, ok := n.(*ast.BoolNode); ok {
			dst.SetBool(b.Value)
			return
		}
	case reflect.Float64:
		if v, ok := decimal(n); ok {
			dst.SetFloat(v)
			return
		}
	default:
		if i, ok := n.(*ast.IntegerNode); ok {
			s.number(i, dst, field)
			return
		}
	}
	s.mismatch(n, dst, field)
}

func decimal(n ast.Node) (v float64, ok bool) {
	switch n := n.(type) {
	case *ast.FloatNode:
		return n.Value, !math.IsNaN(n.Value) && !math.IsInf(n.Value, 0)
	case *ast.IntegerNode:
		v, err := strconv.ParseFloat(n.String(), 64)
		return v, err == nil
	}
	return 0, false
}

func (s *Source) number(n *ast.IntegerNode, dst reflect.Value, field string) {
	var v int64
	switch i := n.Value.(type) {
	case int64:
		v = i
	case uint64:
		v = int64(min(i, 1<<63-1))
	}
	switch {
	case dst.CanInt() && !dst.OverflowInt(v):
		dst.SetInt(v)
	case dst.CanUint() && v >= 0 && !dst.OverflowUint(uint64(v)):
		dst.SetUint(uint64(v))
	default:
		s.at(field, n.GetToken(), "%d is out of range", v)
	}
}

func (s *Source) list(n ast.Node, dst reflect.Value, field string) {
	list, ok := n.(*ast.SequenceNode)
	if !ok {
		s.mismatch(n, dst, field)
		return
	}
	dst.Set(reflect.MakeSlice(dst.Type(), len(list.Values), len(list.Values)))
	for i, item := range list.Values {
		at := field + "[" + strconv.Itoa(i) + "]"
		s.places[at] = position(first(item))
		s.value(item, dst.Index(i), at)
	}
}

// first returns the token at which a node begins; that of a mapping is its first key.
func first(n ast.Node) *token.Token {
	if pairs, ok := mapping(n); ok && len(pairs) > 0 {
		return pairs[0].Key.GetToken()
	}
	return n.GetToken()
}

func mapping(n ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := n.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	}
	return nil, false
}

func (s *Source) structure(n ast.Node, dst reflect.Value, field string) {
	pairs, ok := mapping(n)
	if !ok {
		s.mismatch(n, dst, field)
		return
	}
	seen := make(map[string]bool)
	for _, pair := range pairs {
		s.pair(pair, dst, field, seen)
	}
	for _, f := range Fields(dst.Type()) {
		if seen[f.Name] {
			continue
		}
		s.absent(f, dst.Field(f.Index), join(field, f.Name))
	}
}

func (s *Source) pair(pair *ast.MappingValueNode, dst reflect.Value, field string, seen map[string]bool) {
	key, ok := pair.Key.(*ast.StringNode)
	if !ok {
		s.at(field, pair.Key.GetToken(), "%s is not a field name", describe(pair.Key))
		return
	}
	at := join(field, key.Value)
	if seen[key.Value] {
		s.at(at, key.GetToken(), "field is given twice")
		return
	}
	seen[key.Value] = true
	f, ok := find(dst.Type(), key.Value)
	if !ok {
		s.at(at, key.GetToken(), "unknown field; known are %s", known(dst.Type()))
		return
	}
	s.places[at] = position(key.GetToken())
	if _, isMap := mapping(pair.Value); !isMap {
		if _, isList := pair.Value.(*ast.SequenceNode); !isList {
			s.places[at] = position(pair.Value.GetToken())
		}
	}
	s.value(pair.Value, dst.Field(f.Index), at)
}

// absent fills in the defaults of a field that the file does not have.
func (s *Source) absent(f Field, dst reflect.Value, field string) {
	switch {
	case f.HasDefault:
		if err := setDefault(dst, f.Default); err != nil {
			s.Add(field, "default %q: %v", f.Default, err)
		}
	case !f.Optional:
		s.Add(field, "required field is missing")
	case dst.Kind() == reflect.Struct:
		for _, inner := range Fields(dst.Type()) {
			s.absent(inner, dst.Field(inner.Index), join(field, inner.Name))
		}
	}
}

func setDefault(dst reflect.Value, v string) (err error) {
	switch {
	case dst.Type() == reflect.TypeFor[time.Duration]():
		var d time.Duration
		d, err = time.ParseDuration(v)
		dst.SetInt(int64(d))
	case dst.Kind() == reflect.String:
		dst.SetString(v)
	case dst.Kind() == reflect.Bool:
		var b bool
		b, err = strconv.ParseBool(v)
		dst.SetBool(b)
	case dst.CanInt():
		var i int64
		i, err = strconv.ParseInt(v, 10, 64)
		dst.SetInt(i)
	case dst.CanFloat():
		var f float64
		f, err = strconv.ParseFloat(v, 64)
		dst.SetFloat(f)
	case dst.CanUint():
		var u uint64
		u, err = strconv.ParseUint(v, 10, 64)
		dst.SetUint(u)
	}
	return err
}

func join(field, name string) string {
	if field == "" {
		return name
	}
	return field + "." + name
}
