package document

import (
	"cmp"
	"encoding/json"
	"fmt"
	"reflect"
	"slices"
	"strings"

	"github.com/tailscale/hujson"

	"wisteriapond/config"
)

// Source is a document being decoded. It maps fields to their lines and
// collects the problems found so far.
type Source struct {
	file     string
	lines    lineIndex
	fields   map[string]int
	problems []config.Problem
}

// Decode decodes a document into target, which must point to a struct. Unknown
// fields, duplicate keys and values of the wrong type are recorded as problems
// of the source, and the fields concerned keep their previous values. The error
// is non-nil only for a document that cannot be parsed or is not an object.
func Decode(file string, raw []byte, target any) (*Source, error) {
	return decode(file, raw, target, MaxBytes)
}

func decode(file string, raw []byte, target any, limit int) (*Source, error) {
	s := &Source{file: file, lines: newLineIndex(raw), fields: make(map[string]int)}
	root, err := parseTree(raw, limit)
	if err != nil {
		line, reason := s.lines.syntaxError(err)
		s.addProblem(line, "", reason)
		return s, s.Err()
	}
	s.decodeValue("", root, reflect.ValueOf(target).Elem())
	if root.Value.Kind() != '{' {
		return s, s.Err()
	}
	return s, nil
}

// Err returns the problems as an *Error, sorted by line, or nil if there are
// none.
func (s *Source) Err() error {
	if len(s.problems) == 0 {
		return nil
	}
	ordered := slices.Clone(s.problems)
	slices.SortStableFunc(ordered, func(a, b config.Problem) int { return cmp.Compare(a.Line, b.Line) })
	return &Error{Problems: ordered}
}

// Report records a problem of a field, with the line of the field. It does
// nothing if the field, or a value that encloses it, already has a problem,
// because the value was then not decoded.
func (s *Source) Report(field, reason string) {
	if !s.hasProblem(field) {
		s.addProblem(s.Line(field), field, reason)
	}
}

// ReportAll records the problems that a check of the decoded values found,
// except those of fields that already have a problem. Several problems of the
// same field in the list are all recorded.
func (s *Source) ReportAll(problems []config.Problem) {
	unreported := make([]config.Problem, 0, len(problems))
	for _, p := range problems {
		if !s.hasProblem(p.Field) {
			unreported = append(unreported, p)
		}
	}
	for _, p := range unreported {
		s.addProblem(s.Line(p.Field), p.Field, p.Reason)
	}
}

// Line returns the line of a field, counted from 1. For a missing field, it is
// the line of the innermost value that would enclose it.
func (s *Source) Line(field string) int {
	for field != "" {
		if line, ok := s.fields[field]; ok {
			return line
		}
		field = field[:max(0, strings.LastIndexAny(field, ".["))]
	}
	return s.fields[""]
}

func (s *Source) hasProblem(field string) bool {
	for _, p := range s.problems {
		if p.Field != "" && within(field, p.Field) {
			return true
		}
	}
	return false
}

// within reports whether field is outer or lies inside it.
func within(field, outer string) bool {
	rest, ok := strings.CutPrefix(field, outer)
	return ok && (rest == "" || rest[0] == '.' || rest[0] == '[')
}

func (s *Source) addProblem(line int, field, reason string) {
	s.problems = append(s.problems, config.Problem{Document: s.file, Line: line, Field: field, Reason: reason})
}

func (s *Source) decodeValue(path string, v hujson.Value, target reflect.Value) {
	line := s.lines.at(v.StartOffset)
	if _, known := s.fields[path]; !known {
		s.fields[path] = line
	}
	if _, ok := target.Addr().Interface().(json.Unmarshaler); ok {
		s.decodeScalar(path, v, target)
		return
	}
	switch target.Kind() {
	case reflect.Struct, reflect.Map:
		object, ok := v.Value.(*hujson.Object)
		if !ok {
			s.addProblem(line, path, "must be an object, got "+typeName(v))
			return
		}
		s.decodeObject(path, object, target)
	case reflect.Slice:
		array, ok := v.Value.(*hujson.Array)
		if !ok {
			s.addProblem(line, path, "must be a list, got "+typeName(v))
			return
		}
		s.decodeList(path, array, target)
	default:
		s.decodeScalar(path, v, target)
	}
}

func (s *Source) decodeObject(path string, object *hujson.Object, target reflect.Value) {
	if target.Kind() == reflect.Map {
		target.Set(reflect.MakeMap(target.Type()))
	}
	seen := make(map[string]int, len(object.Members))
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		field := joinPath(path, name)
		line := s.lines.at(member.Name.StartOffset)
		if first, duplicate := seen[name]; duplicate {
			s.addProblem(line, field, fmt.Sprintf("the key is already used in line %d", first))
			continue
		}
		seen[name] = line
		s.decodeMember(field, name, line, member.Value, target)
	}
}

func (s *Source) decodeMember(field, name string, line int, v hujson.Value, target reflect.Value) {
	if target.Kind() == reflect.Map {
		s.fields[field] = line
		element := reflect.New(target.Type().Elem()).Elem()
		s.decodeValue(field, v, element)
		target.SetMapIndex(reflect.ValueOf(name), element)
		return
	}
	member, ok := fieldNamed(target, name)
	if !ok {
		s.addProblem(line, field, "unknown field")
		return
	}
	s.fields[field] = line
	s.decodeValue(field, v, member)
}

func (s *Source) decodeList(path string, array *hujson.Array, target reflect.Value) {
	list := reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements))
	for i, element := range array.Elements {
		s.decodeValue(fmt.Sprintf("%s[%d]", path, i), element, list.Index(i))
	}
	target.Set(list)
}

func (s *Source) decodeScalar(path string, v hujson.Value, target reflect.Value) {
	line := s.lines.at(v.StartOffset)
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() == 'n' {
		s.addProblem(line, path, "must be "+expectedType(target)+", got "+typeName(v))
		return
	}
	err := json.Unmarshal(literal, target.Addr().Interface())
	if err == nil {
		return
	}
	if _, custom := target.Addr().Interface().(json.Unmarshaler); custom {
		s.addProblem(line, path, err.Error())
		return
	}
	s.addProblem(line, path, fmt.Sprintf("must be %s, got %s", expectedType(target), truncate(string(literal))))
}

// fieldNamed returns the field of a struct whose JSON name is name.
func fieldNamed(target reflect.Value, name string) (reflect.Value, bool) {
	for i := range target.NumField() {
		tag, _, _ := strings.Cut(target.Type().Field(i).Tag.Get("json"), ",")
		if tag == name && tag != "" && tag != "-" {
			return target.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func expectedType(target reflect.Value) string {
	switch target.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Uint, reflect.Uint64:
		return "a whole number of at least 0"
	case reflect.Int, reflect.Int64:
		if _, custom := target.Addr().Interface().(json.Unmarshaler); custom {
			return "a quoted value with its unit"
		}
		return "a whole number"
	}
	return "a " + target.Kind().String()
}

func typeName(v hujson.Value) string {
	switch v.Value.Kind() {
	case 'n':
		return "null"
	case '{':
		return "an object"
	case '[':
		return "a list"
	case '"':
		return "a string"
	case '0':
		return "a number"
	}
	return "true or false"
}

// maxQuotedBytes bounds the part of an invalid value that a reason quotes.
const maxQuotedBytes = 64

func truncate(text string) string {
	if len(text) <= maxQuotedBytes {
		return text
	}
	return text[:maxQuotedBytes] + "..."
}
