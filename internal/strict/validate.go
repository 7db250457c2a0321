package strict

import (
	"errors"
	"net/netip"
	"reflect"
	"regexp"
	"strings"

	"github.com/go-playground/validator/v10"
)

var (
	namePattern   = regexp.MustCompile(`^[A-Za-z][A-Za-z0-9-]{0,62}$`)
	prefixPattern = regexp.MustCompile(`^(/|(/[A-Za-z0-9_~-][A-Za-z0-9._~-]*)+/?)$`)
)

// maxPrefixLen is the maximum length of a path prefix in bytes.
const maxPrefixLen = 256

var validate = newValidator()

func newValidator() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(func(f reflect.StructField) string {
		name, _, _ := strings.Cut(f.Tag.Get("yaml"), ",")
		return name
	})
	register(v, "name", func(s string) bool { return namePattern.MatchString(s) })
	register(v, "prefix", func(s string) bool { return len(s) <= maxPrefixLen && prefixPattern.MatchString(s) })
	register(v, "address", func(s string) bool { return isAddress(s) })
	return v
}

// isAddress reports whether s is an IP address literal with a port that is not 0.
func isAddress(s string) bool {
	a, err := netip.ParseAddrPort(s)
	return err == nil && a.Port() != 0
}

func register(v *validator.Validate, tag string, ok func(string) bool) {
	err := v.RegisterValidation(tag, func(l validator.FieldLevel) bool { return ok(l.Field().String()) })
	if err != nil {
		panic("strict: " + err.Error())
	}
}

// Validate checks the validate tags of v, a pointer to the decoded struct. It skips fields that already
// have a problem.
func (s *Source) Validate(v any) {
	var faults validator.ValidationErrors
	if !errors.As(validate.Struct(v), &faults) {
		return
	}
	for _, f := range faults {
		_, field, _ := strings.Cut(f.Namespace(), ".")
		if s.HasProblem(field) {
			continue
		}
		s.AddProblem(field, "%s", Explain(f.Tag(), f.Param(), f.Kind()))
	}
}

// Explain returns the message for operators about a field of the given kind that violates a validate tag.
func Explain(tag, param string, kind reflect.Kind) string {
	subject := "must be "
	switch kind {
	case reflect.Slice:
		subject = "number of entries must be "
	case reflect.String:
		subject = "number of characters must be "
	}
	switch tag {
	case "name":
		return "must be a letter and then at most 62 letters, digits or hyphens"
	case "prefix":
		return "must be an absolute path of at most 256 bytes, with segments of letters, digits and . _ ~ - that do not begin with a dot"
	case "address":
		return "must be an IP number and a port, as in 127.0.0.1:7001; host names are not allowed"
	case "oneof":
		return "must be one of " + strings.ReplaceAll(param, " ", ", ")
	case "min":
		return subject + "at least " + param
	case "max":
		return subject + "at most " + param
	}
	return "does not meet " + tag + " " + param
}
