package bundler

import (
	"encoding/json"
	"fmt"
	"reflect"
	"strings"

	"github.com/tailscale/hujson"
)

// FieldError reports an invalid field of a settings file or bundle.
type FieldError struct {
	File    string
	Line    int
	Field   string
	Problem string
	Allowed string
}

// Error formats the error with its position and the allowed values.
func (e *FieldError) Error() string {
	s := fmt.Sprintf("%s:%d: field %q: %s", e.File, e.Line, e.Field, e.Problem)
	if e.Allowed != "" {
		s += "; allowed: " + e.Allowed
	}
	return s
}

// Parse parses and validates a bundle in JSON with comments, and returns every error found.
func Parse(file string, data []byte) (*Bundle, []error) {
	var b Bundle
	lines, errs := Decode(file, data, &b)
	if len(errs) > 0 {
		return nil, errs
	}
	if errs := check(&b, file, lines); len(errs) > 0 {
		return nil, errs
	}
	return &b, nil
}

// Lines maps the JSON pointer of each value to its line in the file.
type Lines map[string]int

// Decode decodes JSON with comments into v, and rejects unknown fields, duplicate fields and wrong types.
func Decode(file string, data []byte, v any) (Lines, []error) {
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, []error{&FieldError{
			File: file, Line: syntaxLine(err), Problem: err.Error(), Allowed: "JSON with comments",
		}}
	}
	d := &decoder{file: file, data: data, lines: Lines{}}
	d.walk(&root, "", reflect.TypeOf(v).Elem())
	if len(d.errs) > 0 {
		return nil, d.errs
	}
	std, err := hujson.Standardize(data)
	if err != nil {
		return nil, []error{&FieldError{
			File: file, Line: syntaxLine(err), Problem: err.Error(), Allowed: "JSON with comments",
		}}
	}
	if err := json.Unmarshal(std, v); err != nil {
		return nil, []error{&FieldError{File: file, Line: 1, Problem: err.Error(), Allowed: "JSON with comments"}}
	}
	return d.lines, nil
}

// syntaxLine extracts the line from the message of a hujson error, which has no field for it.
func syntaxLine(err error) int {
	var line, column int
	if _, e := fmt.Sscanf(err.Error(), "hujson: line %d, column %d:", &line, &column); e != nil {
		return 1
	}
	return line
}

type decoder struct {
	file  string
	data  []byte
	lines Lines
	errs  []error
}

func (d *decoder) addError(v *hujson.Value, field, problem, allowed string) {
	d.errs = append(d.errs, &FieldError{
		File: d.file, Line: d.lineOf(v), Field: field, Problem: problem, Allowed: allowed,
	})
}

func (d *decoder) lineOf(v *hujson.Value) int {
	return 1 + strings.Count(string(d.data[:v.StartOffset]), "\n")
}

func (d *decoder) walk(v *hujson.Value, path string, t reflect.Type) {
	d.lines[path] = d.lineOf(v)
	switch t.Kind() {
	case reflect.Struct:
		obj, ok := v.Value.(*hujson.Object)
		if !ok {
			d.addError(v, path, "wrong type", "an object")
			return
		}
		d.walkObject(obj, path, t)
	case reflect.Slice:
		arr, ok := v.Value.(*hujson.Array)
		if !ok {
			d.addError(v, path, "wrong type", "an array")
			return
		}
		for i := range arr.Elements {
			d.walk(&arr.Elements[i], fmt.Sprintf("%s/%d", path, i), t.Elem())
		}
	default:
		d.walkLiteral(v, path, t)
	}
}

func (d *decoder) walkObject(obj *hujson.Object, path string, t reflect.Type) {
	fields := map[string]reflect.Type{}
	var names []string
	for f := range t.Fields() {
		name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
		fields[name] = f.Type
		names = append(names, name)
	}
	seen := map[string]bool{}
	for i := range obj.Members {
		m := &obj.Members[i]
		name := m.Name.Value.(hujson.Literal).String()
		child := path + "/" + name
		fieldType, ok := fields[name]
		switch {
		case !ok:
			d.addError(&m.Name, child, "unknown field", strings.Join(names, ", "))
		case seen[name]:
			d.addError(&m.Name, child, "duplicate field", "once")
		default:
			d.walk(&m.Value, child, fieldType)
		}
		seen[name] = true
	}
}

func (d *decoder) walkLiteral(v *hujson.Value, path string, t reflect.Type) {
	lit, ok := v.Value.(hujson.Literal)
	kind := hujson.Kind(0)
	if ok {
		kind = lit.Kind()
	}
	var allowed string
	switch t.Kind() {
	case reflect.String:
		if kind != '"' {
			allowed = "a string"
		}
	case reflect.Bool:
		if kind != 't' && kind != 'f' {
			allowed = "true or false"
		}
	default:
		allowed = checkNumber(lit, kind, t)
	}
	if allowed != "" {
		d.addError(v, path, "wrong type", allowed)
	}
}

// checkNumber returns a description of the allowed numbers if the literal is not a number of type t.
func checkNumber(lit hujson.Literal, kind hujson.Kind, t reflect.Type) string {
	dst := reflect.New(t).Interface()
	if kind == '0' && json.Unmarshal(lit, dst) == nil {
		return ""
	}
	switch t.Kind() {
	case reflect.Uint, reflect.Uint32, reflect.Uint64:
		return "a non-negative integer"
	case reflect.Float64:
		return "a number"
	default:
		return "an integer"
	}
}
