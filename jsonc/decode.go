package jsonc

import (
	"bytes"
	"encoding"
	"encoding/json"
	"errors"
	"fmt"
	"reflect"
	"strings"

	"github.com/go-playground/validator/v10"
	"github.com/tailscale/hujson"
)

var (
	errNoStruct = errors.New("the target of a decode must be a pointer to a struct")

	jsonUnmarshaler = reflect.TypeFor[json.Unmarshaler]()
	textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()
)

func structOf(v any) (reflect.Value, error) {
	target := reflect.ValueOf(v)
	if target.Kind() != reflect.Pointer || target.IsNil() || target.Elem().Kind() != reflect.Struct {
		return reflect.Value{}, errNoStruct
	}
	return target.Elem(), nil
}

// decode stores value into target and records every mistake below path.
func (d *Document) decode(value hujson.Value, target reflect.Value, path string) {
	d.lines[path] = d.lineAt(value.StartOffset)
	if target.Kind() == reflect.Pointer && !isLeaf(target.Type()) {
		if literal, ok := value.Value.(hujson.Literal); ok && literal.Kind() == 'n' {
			return
		}
		target.Set(reflect.New(target.Type().Elem()))
		target = target.Elem()
	}
	switch {
	case isLeaf(target.Type()):
		d.decodeLeaf(value, target, path)
	case target.Kind() == reflect.Struct:
		d.decodeStruct(value, target, path)
	case target.Kind() == reflect.Slice:
		d.decodeSlice(value, target, path)
	case target.Kind() == reflect.Map:
		d.decodeMap(value, target, path)
	default:
		d.decodeLeaf(value, target, path)
	}
}

// isLeaf reports whether encoding/json decodes the type as a whole.
func isLeaf(t reflect.Type) bool {
	p := reflect.PointerTo(t)
	return p.Implements(jsonUnmarshaler) || p.Implements(textUnmarshaler) ||
		(t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Uint8)
}

func (d *Document) decodeLeaf(value hujson.Value, target reflect.Value, path string) {
	plain := value.Clone()
	plain.Standardize()
	if err := json.Unmarshal(plain.Pack(), target.Addr().Interface()); err != nil {
		var mismatch *json.UnmarshalTypeError
		if errors.As(err, &mismatch) {
			d.Add(path, "%s given, %s expected", mismatch.Value, mismatch.Type)
			return
		}
		d.Add(path, "%v", err)
	}
}

func (d *Document) decodeStruct(value hujson.Value, target reflect.Value, path string) {
	object, ok := value.Value.(*hujson.Object)
	if !ok {
		d.Add(path, "an object is expected")
		return
	}
	fields := fieldsOf(target.Type())
	seen := map[string]bool{}
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		at := join(path, name)
		index, known := fields[name]
		if seen[name] || !known {
			d.addAt(at, member.Name.StartOffset, known)
			continue
		}
		seen[name] = true
		d.decode(member.Value, target.FieldByIndex(index), at)
	}
}

// addAt records a duplicate field (known) or an unknown one.
func (d *Document) addAt(path string, offset int, known bool) {
	message := "unknown field"
	if known {
		message = "field given twice"
	}
	d.mistakes = append(d.mistakes, Mistake{File: d.file, Line: d.lineAt(offset), Field: path, Message: message})
}

func (d *Document) decodeSlice(value hujson.Value, target reflect.Value, path string) {
	if literal, ok := value.Value.(hujson.Literal); ok && literal.Kind() == 'n' {
		return
	}
	array, ok := value.Value.(*hujson.Array)
	if !ok {
		d.Add(path, "an array is expected")
		return
	}
	target.Set(reflect.MakeSlice(target.Type(), len(array.Elements), len(array.Elements)))
	for i, element := range array.Elements {
		d.decode(element, target.Index(i), fmt.Sprintf("%s[%d]", path, i))
	}
}

func (d *Document) decodeMap(value hujson.Value, target reflect.Value, path string) {
	object, ok := value.Value.(*hujson.Object)
	if !ok || target.Type().Key().Kind() != reflect.String {
		d.Add(path, "an object is expected")
		return
	}
	target.Set(reflect.MakeMap(target.Type()))
	for _, member := range object.Members {
		name := member.Name.Value.(hujson.Literal).String()
		at := fmt.Sprintf("%s[%s]", path, name)
		key := reflect.ValueOf(name).Convert(target.Type().Key())
		if target.MapIndex(key).IsValid() {
			d.addAt(at, member.Name.StartOffset, true)
			continue
		}
		element := reflect.New(target.Type().Elem()).Elem()
		d.decode(member.Value, element, at)
		target.SetMapIndex(key, element)
	}
}

// fieldsOf maps the document's names to the fields of a struct; embedded structs are flattened.
func fieldsOf(t reflect.Type) map[string][]int {
	fields := map[string][]int{}
	for _, f := range reflect.VisibleFields(t) {
		if f.Anonymous && f.Tag.Get("json") == "" && f.Type.Kind() == reflect.Struct {
			continue
		}
		if f.IsExported() && fieldName(f) != "" && !throughPointer(t, f.Index) {
			fields[fieldName(f)] = f.Index
		}
	}
	return fields
}

// throughPointer reports whether a field lies inside an embedded pointer or a named embedding.
func throughPointer(t reflect.Type, index []int) bool {
	for i := 1; i < len(index); i++ {
		outer := t.FieldByIndex(index[:i])
		if outer.Type.Kind() == reflect.Pointer || outer.Tag.Get("json") != "" {
			return true
		}
	}
	return false
}

// fieldName returns the name of a field in the document, or "" when it has none.
func fieldName(f reflect.StructField) string {
	name, _, _ := strings.Cut(f.Tag.Get("json"), ",")
	switch name {
	case "-":
		return ""
	case "":
		return f.Name
	default:
		return name
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// validate runs the validation tags. A field that already has a mistake is not reported again.
func (d *Document) validate(v any) {
	err := structValidator().Struct(v)
	var failures validator.ValidationErrors
	if !errors.As(err, &failures) {
		return
	}
	for _, failure := range failures {
		_, path, found := strings.Cut(failure.Namespace(), ".")
		if !found || d.covered(path) {
			continue
		}
		d.Add(path, "%s", explain(failure))
	}
}

// covered reports whether path or a value around it has a mistake already.
func (d *Document) covered(path string) bool {
	for ; path != ""; path = parent(path) {
		if d.faulty[path] {
			return true
		}
	}
	return false
}

// explain words a failed validation tag.
func explain(f validator.FieldError) string {
	switch f.Tag() {
	case "required":
		return "is required"
	case "oneof":
		return fmt.Sprintf("%v is not one of: %s", f.Value(), f.Param())
	case "unique":
		return fmt.Sprintf("holds two entries with the same %s", f.Param())
	case "gt", "gte", "lt", "lte", "min", "max", "len":
		return fmt.Sprintf("must satisfy %s=%s", f.Tag(), f.Param())
	}
	var given bytes.Buffer
	fmt.Fprintf(&given, "%v fails the rule %s", f.Value(), f.Tag())
	if f.Param() != "" {
		fmt.Fprintf(&given, "=%s", f.Param())
	}
	return given.String()
}
