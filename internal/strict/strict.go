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

// position is a position in the file. Both numbers count from 1.
type position struct{ line, column int }

// maxNesting is the maximum depth of flow collections, and of sequences that begin on one line. The parser
// takes quadratic time in this depth, so that a deeply nested document could block a node for minutes.
const maxNesting = 32

// Source is a decoded file, with the positions of its fields and the problems found so far.
type Source struct {
	file      string
	positions map[string]position // by field path
	faulty    map[string]bool     // field paths with a problem
	enclosing map[string]bool     // field paths that enclose a faulty one
	problems  Problems
}

// Decode decodes text of at most limit bytes into dst, a pointer to a struct. It always returns a Source;
// dst is valid only if Err returns nil.
func Decode(file string, text []byte, limit int, dst any) *Source {
	s := &Source{file: file, positions: make(map[string]position), faulty: make(map[string]bool), enclosing: make(map[string]bool)}
	s.positions[""] = position{1, 1}
	if len(text) > limit {
		s.AddProblem("", "file has %d bytes, at most %d are allowed", len(text), limit)
		return s
	}
	tokens := lexer.Tokenize(string(text))
	if tk := findTooDeep(tokens); tk != nil {
		s.addAt("", tk, "nested deeper than %d levels", maxNesting)
		return s
	}
	parsed, err := parser.Parse(tokens, 0)
	if err != nil {
		s.addSyntaxError(err)
		return s
	}
	var body ast.Node
	for _, d := range parsed.Docs {
		if d.Body == nil {
			continue
		}
		if body != nil {
			s.addAt("", d.Body.GetToken(), "file holds more than one document")
			return s
		}
		body = d.Body
	}
	if body == nil {
		s.AddProblem("", "file is empty")
		return s
	}
	s.decodeValue(body, reflect.ValueOf(dst).Elem(), "")
	return s
}

// findTooDeep returns the token at which the nesting exceeds maxNesting, or nil.
func findTooDeep(tokens token.Tokens) *token.Token {
	flow, entries, line := 0, 0, 0
	for _, tk := range tokens {
		if current := tokenPosition(tk).line; current != line {
			entries, line = 0, current
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

// AddProblem reports a problem of the field with the given path, such as "services[2].slots". The position is that
// of the field, or of the innermost enclosing field that is in the file.
func (s *Source) AddProblem(field, format string, args ...any) {
	p := s.nearestPosition(field)
	s.add(field, p, fmt.Sprintf(format, args...))
}

// HasProblem reports whether the field, a field in it or a field that encloses it has a problem. Checks over
// several fields use it to avoid reporting a problem twice.
func (s *Source) HasProblem(field string) bool {
	for f := field; ; f = parent(f) {
		if s.faulty[f] {
			return true
		}
		if f == "" {
			break
		}
	}
	return s.enclosing[field]
}

// Err returns the problems as Problems sorted by position, or nil if there are none.
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

func (s *Source) add(field string, p position, message string) {
	s.faulty[field] = true
	for f := field; f != ""; {
		f = parent(f)
		s.enclosing[f] = true
	}
	s.problems = append(s.problems, Problem{File: s.file, Line: p.line, Column: p.column, Field: field, Message: message})
}

func (s *Source) addAt(field string, tk *token.Token, format string, args ...any) {
	s.add(field, tokenPosition(tk), fmt.Sprintf(format, args...))
}

func (s *Source) nearestPosition(field string) position {
	for f := field; ; f = parent(f) {
		if p, ok := s.positions[f]; ok {
			return p
		}
	}
}

// parent returns the path of the field that encloses field; empty for the document.
func parent(field string) string {
	return field[:max(strings.LastIndexAny(field, ".["), 0)]
}

func tokenPosition(tk *token.Token) position {
	if tk == nil || tk.Position == nil {
		return position{1, 1}
	}
	return position{max(tk.Position.Line, 1), max(tk.Position.Column, 1)}
}

func (s *Source) addSyntaxError(err error) {
	var y yaml.Error
	if e, ok := err.(yaml.Error); ok {
		y = e
	}
	if y == nil {
		s.AddProblem("", "not valid YAML: %v", err)
		return
	}
	s.addAt("", y.GetToken(), "not valid YAML: %s", y.GetMessage())
}

// decodeValue decodes a node into dst and reports problems at field.
func (s *Source) decodeValue(n ast.Node, dst reflect.Value, field string) {
	switch n.(type) {
	case *ast.AnchorNode, *ast.AliasNode, *ast.TagNode, *ast.MergeKeyNode:
		s.addAt(field, n.GetToken(), "anchors, aliases, tags and merge keys are not allowed")
		return
	case *ast.NullNode:
		s.addAt(field, n.GetToken(), "has no value, want %s", typeName(dst.Type()))
		return
	}
	if dst.Type() == reflect.TypeFor[time.Duration]() {
		s.decodeDuration(n, dst, field)
		return
	}
	switch dst.Kind() {
	case reflect.Struct:
		s.decodeStruct(n, dst, field)
	case reflect.Slice:
		s.decodeList(n, dst, field)
	default:
		s.decodeScalar(n, dst, field)
	}
}

// typeName returns the name of a type in messages for operators.
func typeName(t reflect.Type) string {
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

func (s *Source) addTypeMismatch(n ast.Node, dst reflect.Value, field string) {
	s.addAt(field, n.GetToken(), "got %s, want %s", describe(n), typeName(dst.Type()))
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

// stringValue returns the value of a string node, and false for other nodes.
func stringValue(n ast.Node) (string, bool) {
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

func (s *Source) decodeDuration(n ast.Node, dst reflect.Value, field string) {
	v, ok := stringValue(n)
	if !ok {
		s.addTypeMismatch(n, dst, field)
		return
	}
	d, err := time.ParseDuration(v)
	if err != nil {
		s.addTypeMismatch(n, dst, field)
		return
	}
	dst.SetInt(int64(d))
}

func (s *Source) decodeScalar(n ast.Node, dst reflect.Value, field string) {
	switch dst.Kind() {
	case reflect.String:
		if v, ok := stringValue(n); ok {
			dst.SetString(v)
			return
		}
	case reflect.Bool:
		if b, ok := n.(*ast.BoolNode); ok {
			dst.SetBool(b.Value)
			return
		}
	case reflect.Float64:
		if v, ok := floatValue(n); ok {
			dst.SetFloat(v)
			return
		}
	default:
		if i, ok := n.(*ast.IntegerNode); ok {
			s.decodeInt(i, dst, field)
			return
		}
	}
	s.addTypeMismatch(n, dst, field)
}

// floatValue returns the value of a finite number node, and false for other nodes.
func floatValue(n ast.Node) (v float64, ok bool) {
	switch n := n.(type) {
	case *ast.FloatNode:
		return n.Value, !math.IsNaN(n.Value) && !math.IsInf(n.Value, 0)
	case *ast.IntegerNode:
		v, err := strconv.ParseFloat(n.String(), 64)
		return v, err == nil
	}
	return 0, false
}

func (s *Source) decodeInt(n *ast.IntegerNode, dst reflect.Value, field string) {
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
		s.addAt(field, n.GetToken(), "%d is out of range", v)
	}
}

func (s *Source) decodeList(n ast.Node, dst reflect.Value, field string) {
	list, ok := n.(*ast.SequenceNode)
	if !ok {
		s.addTypeMismatch(n, dst, field)
		return
	}
	dst.Set(reflect.MakeSlice(dst.Type(), len(list.Values), len(list.Values)))
	for i, item := range list.Values {
		path := field + "[" + strconv.Itoa(i) + "]"
		s.positions[path] = tokenPosition(firstToken(item))
		s.decodeValue(item, dst.Index(i), path)
	}
}

// firstToken returns the first token of a node. For a mapping that is the first key.
func firstToken(n ast.Node) *token.Token {
	if pairs, ok := mappingPairs(n); ok && len(pairs) > 0 {
		return pairs[0].Key.GetToken()
	}
	return n.GetToken()
}

// mappingPairs returns the pairs of a mapping node, and false for other nodes.
func mappingPairs(n ast.Node) ([]*ast.MappingValueNode, bool) {
	switch n := n.(type) {
	case *ast.MappingNode:
		return n.Values, true
	case *ast.MappingValueNode:
		return []*ast.MappingValueNode{n}, true
	}
	return nil, false
}

func (s *Source) decodeStruct(n ast.Node, dst reflect.Value, field string) {
	pairs, ok := mappingPairs(n)
	if !ok {
		s.addTypeMismatch(n, dst, field)
		return
	}
	seen := make(map[string]bool)
	for _, pair := range pairs {
		s.decodePair(pair, dst, field, seen)
	}
	for _, f := range Fields(dst.Type()) {
		if seen[f.Name] {
			continue
		}
		s.setAbsent(f, dst.Field(f.Index), join(field, f.Name))
	}
}

func (s *Source) decodePair(pair *ast.MappingValueNode, dst reflect.Value, field string, seen map[string]bool) {
	key, ok := pair.Key.(*ast.StringNode)
	if !ok {
		s.addAt(field, pair.Key.GetToken(), "%s is not a field name", describe(pair.Key))
		return
	}
	path := join(field, key.Value)
	if seen[key.Value] {
		s.addAt(path, key.GetToken(), "field is given twice")
		return
	}
	seen[key.Value] = true
	f, ok := findField(dst.Type(), key.Value)
	if !ok {
		s.addAt(path, key.GetToken(), "unknown field; known are %s", fieldNames(dst.Type()))
		return
	}
	s.positions[path] = tokenPosition(key.GetToken())
	if _, isMap := mappingPairs(pair.Value); !isMap {
		if _, isList := pair.Value.(*ast.SequenceNode); !isList {
			s.positions[path] = tokenPosition(pair.Value.GetToken())
		}
	}
	s.decodeValue(pair.Value, dst.Field(f.Index), path)
}

// setAbsent sets a field that is not in the file to its default, or reports it if it is required.
func (s *Source) setAbsent(f Field, dst reflect.Value, field string) {
	switch {
	case f.HasDefault:
		if err := setDefault(dst, f.Default); err != nil {
			s.AddProblem(field, "default %q: %v", f.Default, err)
		}
	case !f.Optional:
		s.AddProblem(field, "required field is missing")
	case dst.Kind() == reflect.Struct:
		for _, inner := range Fields(dst.Type()) {
			s.setAbsent(inner, dst.Field(inner.Index), join(field, inner.Name))
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
