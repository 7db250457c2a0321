package setup

import (
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"
	"time"

	"briarworks.example/briarworks/internal/strict"
	"briarworks.example/briarworks/pkg/rules"
)

// row is the documentation of a field without its description.
type row struct{ kind, fallback, bounds string }

// collectRows adds the fields of t and of the structs in it to rows, by field path.
func collectRows(rows map[string]row, t reflect.Type, path string) {
	for _, f := range strict.Fields(t) {
		at := f.Name
		if path != "" {
			at = path + "." + f.Name
		}
		rows[at] = row{kindOf(f), fallbackOf(f), boundsOf(f)}
		inner := f.Type
		if inner.Kind() == reflect.Slice {
			inner, at = inner.Elem(), at+"[]"
		}
		if inner.Kind() == reflect.Struct {
			collectRows(rows, inner, at)
		}
	}
}

func kindOf(f strict.Field) string {
	var kind string
	switch {
	case f.Type == reflect.TypeFor[time.Duration]():
		return "duration"
	case f.Type.Kind() == reflect.Slice && f.Type.Elem().Kind() == reflect.Struct:
		kind = "list of mappings"
	case f.Type.Kind() == reflect.Slice:
		kind = "list of texts"
	case f.Type.Kind() == reflect.Struct:
		kind = "mapping"
	case f.Type.Kind() == reflect.Bool:
		kind = "true or false"
	case f.Type.Kind() == reflect.String:
		kind = "text"
	default:
		kind = "whole number"
	}
	if f.Unit != "" {
		kind += ", " + f.Unit
	}
	return kind
}

func fallbackOf(f strict.Field) string {
	switch {
	case f.HasDefault:
		return "`" + f.Default + "`"
	case f.Optional:
		return "none"
	}
	return "required"
}

func boundsOf(f strict.Field) string {
	var texts []string
	prefix, kind := "", f.Type.Kind()
	for _, rule := range strings.Split(f.Validate, ",") {
		tag, param, _ := strings.Cut(rule, "=")
		switch tag {
		case "":
			continue
		case "dive":
			prefix, kind = "each ", f.Type.Elem().Kind()
			continue
		}
		texts = append(texts, prefix+strict.Explain(tag, param, kind))
	}
	if len(texts) == 0 {
		return "none"
	}
	return strings.Join(texts, "; ")
}

// Guards against docs/configuration.md listing other fields, units, defaults or bounds than the decoders have.
func TestPage(t *testing.T) {
	page, err := os.ReadFile(filepath.Join("..", "..", "docs", "configuration.md"))
	if err != nil {
		t.Fatal(err)
	}
	document, settings, ok := strings.Cut(string(page), "\n## The node's settings\n")
	if !ok {
		t.Fatal("page: got no section for the node's settings, want one")
	}
	tests := map[string]struct {
		page   string
		fields reflect.Type
	}{
		"document": {document, reflect.TypeFor[rules.Document]()},
		"settings": {settings, reflect.TypeFor[Settings]()},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			want := make(map[string]row)
			collectRows(want, tt.fields, "")
			for _, line := range strings.Split(tt.page, "\n") {
				cells := strings.Split(line, " | ")
				if len(cells) != 5 || !strings.HasPrefix(cells[0], "| `") {
					continue
				}
				field := strings.Trim(cells[0], "| `")
				w, ok := want[field]
				if !ok {
					t.Errorf("field %s: unknown to the decoder, or listed twice on the page", field)
					continue
				}
				delete(want, field)
				got := row{cells[2], cells[3], strings.TrimSpace(strings.TrimSuffix(strings.TrimSpace(cells[4]), "|"))}
				if got != w {
					t.Errorf("field %s: got %+v, want %+v", field, got, w)
				}
				if strings.TrimSpace(cells[1]) == "" {
					t.Errorf("field %s: got no description on the page, want one", field)
				}
			}
			for field, w := range want {
				t.Errorf("field %s: got no row on the page, want: | `%s` | ... | %s | %s | %s |", field, field, w.kind, w.fallback, w.bounds)
			}
		})
	}
}
