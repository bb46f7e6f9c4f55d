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
	errNotStructPointer = errors.New("decode target must be a non-nil pointer to a struct")

	jsonUnmarshaler = reflect.TypeFor[json.Unmarshaler]()
	textUnmarshaler = reflect.TypeFor[encoding.TextUnmarshaler]()
)

// structOf returns the struct to which v points.
func structOf(v any) (reflect.Value, error) {
	target := reflect.ValueOf(v)
	if target.Kind() != reflect.Pointer || target.IsNil() || target.Elem().Kind() != reflect.Struct {
		return reflect.Value{}, errNotStructPointer
	}
	return target.Elem(), nil
}

// decode stores value, which is at path in the document, into target and records its line and every
// mistake in it.
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

// isLeaf reports whether values of the type are passed to encoding/json as a whole: the type
// unmarshals itself or is a byte slice.
func isLeaf(t reflect.Type) bool {
	p := reflect.PointerTo(t)
	return p.Implements(jsonUnmarshaler) || p.Implements(textUnmarshaler) ||
		(t.Kind() == reflect.Slice && t.Elem().Kind() == reflect.Uint8)
}

// decodeLeaf decodes value with encoding/json, after removing comments and trailing commas.
func (d *Document) decodeLeaf(value hujson.Value, target reflect.Value, path string) {
	standardized := value.Clone()
	standardized.Standardize()
	if err := json.Unmarshal(standardized.Pack(), target.Addr().Interface()); err != nil {
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
		fieldPath := joinPath(path, name)
		index, known := fields[name]
		if seen[name] || !known {
			d.addFieldMistake(fieldPath, member.Name.StartOffset, known)
			continue
		}
		seen[name] = true
		d.decode(member.Value, target.FieldByIndex(index), fieldPath)
	}
}

// addFieldMistake records a duplicate or an unknown field at the byte offset of its name. It does not
// mark the path as faulty, so the first value of a duplicate field is still validated.
func (d *Document) addFieldMistake(path string, offset int, duplicate bool) {
	message := "unknown field"
	if duplicate {
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
		entryPath := fmt.Sprintf("%s[%s]", path, name)
		key := reflect.ValueOf(name).Convert(target.Type().Key())
		if target.MapIndex(key).IsValid() {
			d.addFieldMistake(entryPath, member.Name.StartOffset, true)
			continue
		}
		element := reflect.New(target.Type().Elem()).Elem()
		d.decode(member.Value, element, entryPath)
		target.SetMapIndex(key, element)
	}
}

// fieldsOf maps the field names in a document to the index sequences of the fields of a struct.
// Fields of embedded structs without a "json" tag are treated as fields of the outer struct.
func fieldsOf(t reflect.Type) map[string][]int {
	fields := map[string][]int{}
	for _, f := range reflect.VisibleFields(t) {
		if f.Anonymous && f.Tag.Get("json") == "" && f.Type.Kind() == reflect.Struct {
			continue
		}
		if f.IsExported() && fieldName(f) != "" && !hasUnflattenedParent(t, f.Index) {
			fields[fieldName(f)] = f.Index
		}
	}
	return fields
}

// hasUnflattenedParent reports whether a field lies in an embedded struct that fieldsOf does not
// flatten because it is a pointer or has a name in a "json" tag.
func hasUnflattenedParent(t reflect.Type, index []int) bool {
	for i := 1; i < len(index); i++ {
		parent := t.FieldByIndex(index[:i])
		if parent.Type.Kind() == reflect.Pointer || parent.Tag.Get("json") != "" {
			return true
		}
	}
	return false
}

// fieldName returns the name of a struct field in a document, or "" if it is excluded by the tag
// "-".
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

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// validate checks v against its "validate" tags. It does not report a field that has a mistake
// already, or that lies in a value that has one.
func (d *Document) validate(v any) {
	err := structValidator().Struct(v)
	var failures validator.ValidationErrors
	if !errors.As(err, &failures) {
		return
	}
	for _, failure := range failures {
		_, path, found := strings.Cut(failure.Namespace(), ".")
		if !found || d.hasMistake(path) {
			continue
		}
		d.Add(path, "%s", describeFailure(failure))
	}
}

// hasMistake reports whether the value at path or an enclosing value is marked as faulty.
func (d *Document) hasMistake(path string) bool {
	for ; path != ""; path = parentPath(path) {
		if d.faultyPaths[path] {
			return true
		}
	}
	return false
}

// describeFailure returns the message for a failed validation tag.
func describeFailure(f validator.FieldError) string {
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
	var message bytes.Buffer
	fmt.Fprintf(&message, "%v fails the rule %s", f.Value(), f.Tag())
	if f.Param() != "" {
		fmt.Fprintf(&message, "=%s", f.Param())
	}
	return message.String()
}
