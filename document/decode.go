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

// Source is a parsed document. It tells the line of each field and collects
// the problems found so far.
type Source struct {
	file     string
	lines    lineIndex
	fields   map[string]int
	problems []config.Problem
}

// Decode reads a document into target, a pointer to a struct. Unknown fields,
// duplicate keys and values of the wrong type become problems of the source,
// and the fields concerned keep their values. The error is for documents that
// cannot be parsed at all.
func Decode(file string, raw []byte, target any) (*Source, error) {
	return decode(file, raw, target, MaxBytes)
}

func decode(file string, raw []byte, target any, limit int) (*Source, error) {
	s := &Source{file: file, lines: newLineIndex(raw), fields: make(map[string]int)}
	root, err := parseTree(raw, limit)
	if err != nil {
		line, reason := s.lines.syntaxError(err)
		s.add(line, "", reason)
		return s, s.Err()
	}
	s.value("", root, reflect.ValueOf(target).Elem())
	if root.Value.Kind() != '{' {
		return s, s.Err()
	}
	return s, nil
}

// Err returns the problems as an *Error in the order of their lines, or nil.
func (s *Source) Err() error {
	if len(s.problems) == 0 {
		return nil
	}
	ordered := slices.Clone(s.problems)
	slices.SortStableFunc(ordered, func(a, b config.Problem) int { return cmp.Compare(a.Line, b.Line) })
	return &Error{Problems: ordered}
}

// Report adds the problem of a field and fills in its line. A field that has
// a problem already, or lies within one that has, gets no second one: its
// value was not read.
func (s *Source) Report(field, reason string) {
	if !s.hasProblem(field) {
		s.add(s.Line(field), field, reason)
	}
}

// ReportAll reports the problems that a check of the values found.
func (s *Source) ReportAll(problems []config.Problem) {
	unreported := make([]config.Problem, 0, len(problems))
	for _, p := range problems {
		if !s.hasProblem(p.Field) {
			unreported = append(unreported, p)
		}
	}
	for _, p := range unreported {
		s.add(s.Line(p.Field), p.Field, p.Reason)
	}
}

// Line returns the line of a field. For a field that is missing it is the line
// of the innermost value that should hold it.
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

func within(field, outer string) bool {
	rest, ok := strings.CutPrefix(field, outer)
	return ok && (rest == "" || rest[0] == '.' || rest[0] == '[')
}

func (s *Source) add(line int, field, reason string) {
	s.problems = append(s.problems, config.Problem{Document: s.file, Line: line, Field: field, Reason: reason})
}

func (s *Source) value(path string, v hujson.Value, target reflect.Value) {
	line := s.lines.at(v.StartOffset)
	if _, known := s.fields[path]; !known {
		s.fields[path] = line
	}
	if _, ok := target.Addr().Interface().(json.Unmarshaler); ok {
		s.leaf(path, v, target)
		return
	}
	switch target.Kind() {
	case reflect.Struct, reflect.Map:
		object, ok := v.Value.(*hujson.Object)
		if !ok {
			s.add(line, path, "must be an object, got "+kindName(v))
			return
		}
		s.object(path, object, target)
	case reflect.Slice:
		array, ok := v.Value.(*hujson.Array)
		if !ok {
			s.add(line, path, "must be a list, got "+kindName(v))
			return
		}
		s.list(path, array, target)
	default:
		s.leaf(path, v, target)
	}
}

func (s *Source) object(path string, object *hujson.Object, target reflect.Value) {
	if target.Kind() == reflect.Map {
		target.Set(reflect.MakeMap(target.Type()))
	}
	seen := make(map[string]int, len(object.Members))
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		field := join(path, name)
		line := s.lines.at(member.Name.StartOffset)
		if first, again := seen[name]; again {
			s.add(line, field, fmt.Sprintf("the key is already used in line %d", first))
			continue
		}
		seen[name] = line
		s.member(field, name, line, member.Value, target)
	}
}

func (s *Source) member(field, name string, line int, v hujson.Value, target reflect.Value) {
	if target.Kind() == reflect.Map {
		s.fields[field] = line
		element := reflect.New(target.Type().Elem()).Elem()
		s.value(field, v, element)
		target.SetMapIndex(reflect.ValueOf(name), element)
		return
	}
	member, ok := fieldNamed(target, name)
	if !ok {
		s.add(line, field, "unknown field")
		return
	}
	s.fields[field] = line
	s.value(field, v, member)
}

func (s *Source) list(path string, array *hujson.Array, target reflect.Value) {
	list := reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements))
	for i, element := range array.Elements {
		s.value(fmt.Sprintf("%s[%d]", path, i), element, list.Index(i))
	}
	target.Set(list)
}

func (s *Source) leaf(path string, v hujson.Value, target reflect.Value) {
	line := s.lines.at(v.StartOffset)
	literal, ok := v.Value.(hujson.Literal)
	if !ok || literal.Kind() == 'n' {
		s.add(line, path, "must be "+wanted(target)+", got "+kindName(v))
		return
	}
	err := json.Unmarshal(literal, target.Addr().Interface())
	if err == nil {
		return
	}
	if _, typed := target.Addr().Interface().(json.Unmarshaler); typed {
		s.add(line, path, err.Error())
		return
	}
	s.add(line, path, fmt.Sprintf("must be %s, got %s", wanted(target), shorten(string(literal))))
}

func fieldNamed(target reflect.Value, name string) (reflect.Value, bool) {
	for i := range target.NumField() {
		tag, _, _ := strings.Cut(target.Type().Field(i).Tag.Get("json"), ",")
		if tag == name && tag != "" && tag != "-" {
			return target.Field(i), true
		}
	}
	return reflect.Value{}, false
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

func wanted(target reflect.Value) string {
	switch target.Kind() {
	case reflect.String:
		return "a string"
	case reflect.Bool:
		return "true or false"
	case reflect.Uint, reflect.Uint64:
		return "a whole number of at least 0"
	case reflect.Int, reflect.Int64:
		if _, typed := target.Addr().Interface().(json.Unmarshaler); typed {
			return "a quoted value with its unit"
		}
		return "a whole number"
	}
	return "a " + target.Kind().String()
}

func kindName(v hujson.Value) string {
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

// shownBytes bounds the part of a wrong value that a reason repeats.
const shownBytes = 64

func shorten(text string) string {
	if len(text) <= shownBytes {
		return text
	}
	return text[:shownBytes] + "..."
}
