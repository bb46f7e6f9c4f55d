// Package jsonc decodes JSON with comments into structs and validates them. Decoding is strict:
// unknown and duplicate fields are mistakes. All mistakes of a document are reported at once, each
// with its file, line and field.
package jsonc

import (
	"bytes"
	"fmt"
	"sort"
	"strings"
	"sync"

	"github.com/go-playground/validator/v10"
	"github.com/tailscale/hujson"
)

// Mistake is one syntax, type or validation error in a document. Field is a path such as
// "added[0].calls[1].name"; it is empty if the mistake concerns no single field.
type Mistake struct {
	File    string `json:"file"`
	Line    int    `json:"line"`
	Field   string `json:"field"`
	Message string `json:"message"`
}

// String returns "file:line: field: message".
func (m Mistake) String() string {
	if m.Field == "" {
		return fmt.Sprintf("%s:%d: %s", m.File, m.Line, m.Message)
	}
	return fmt.Sprintf("%s:%d: %s: %s", m.File, m.Line, m.Field, m.Message)
}

// Errors is the error that lists every mistake in a document, sorted by line.
type Errors struct {
	Mistakes []Mistake
}

// Error implements error. The text has one mistake per line.
func (e *Errors) Error() string {
	lines := make([]string, len(e.Mistakes))
	for i, m := range e.Mistakes {
		lines[i] = m.String()
	}
	return strings.Join(lines, "\n")
}

// Decode parses data into v, a pointer to a struct, and validates it according to its "validate"
// tags. The name stands for the file in error messages. An error is an *Errors with every mistake.
func Decode(name string, data []byte, v any) error {
	doc, err := DecodeDocument(name, data, v)
	if err != nil {
		return err
	}
	return doc.Err()
}

// DecodeDocument decodes like Decode and returns the document, so that the caller can add the
// mistakes that its own checks find before it calls Err. It returns an error, an *Errors, only if
// data is not syntactically valid or v is not a pointer to a struct.
func DecodeDocument(name string, data []byte, v any) (*Document, error) {
	doc := &Document{file: name, data: data, lines: map[string]int{}, faultyPaths: map[string]bool{}}
	root, err := hujson.Parse(data)
	if err != nil {
		return nil, &Errors{Mistakes: []Mistake{{File: name, Line: syntaxLine(err, data), Message: err.Error()}}}
	}
	target, err := structOf(v)
	if err != nil {
		return nil, &Errors{Mistakes: []Mistake{{File: name, Line: 1, Message: err.Error()}}}
	}
	doc.decode(root, target, "")
	doc.validate(v)
	return doc, nil
}

// Document is a decoded document with the lines of its fields and the mistakes found so far.
type Document struct {
	file        string
	data        []byte
	lines       map[string]int  // by field path
	faultyPaths map[string]bool // paths of the fields with a mistake
	mistakes    []Mistake
}

// Add records a mistake at the path field. Its line is that given by Line.
func (d *Document) Add(field, format string, args ...any) {
	d.faultyPaths[field] = true
	d.mistakes = append(d.mistakes, Mistake{
		File: d.file, Line: d.Line(field), Field: field, Message: fmt.Sprintf(format, args...),
	})
}

// Line returns the line of the value at the path field, or of the nearest enclosing value if the
// document has no such field.
func (d *Document) Line(field string) int {
	for {
		if line, ok := d.lines[field]; ok {
			return line
		}
		if field == "" {
			return 1
		}
		field = parentPath(field)
	}
}

// Err returns an *Errors with every mistake, sorted by line, or nil if there is none.
func (d *Document) Err() error {
	if len(d.mistakes) == 0 {
		return nil
	}
	sort.SliceStable(d.mistakes, func(i, j int) bool { return d.mistakes[i].Line < d.mistakes[j].Line })
	return &Errors{Mistakes: d.mistakes}
}

// lineAt returns the 1-based line number of a byte offset.
func (d *Document) lineAt(offset int) int {
	offset = min(max(offset, 0), len(d.data))
	return 1 + bytes.Count(d.data[:offset], []byte("\n"))
}

// parentPath removes the last element of a path: "a[0].b" becomes "a[0]", and "a[0]" becomes "a".
func parentPath(path string) string {
	i := strings.LastIndexAny(path, ".[")
	if i < 0 {
		return ""
	}
	return path[:i]
}

// syntaxLine returns the line of a syntax error. It parses the line from the message, because
// hujson's errors have no field for it; without a line in the message, it returns the last line.
func syntaxLine(err error, data []byte) int {
	message := err.Error()
	var line, column int
	if i := strings.Index(message, "line "); i >= 0 {
		if n, _ := fmt.Sscanf(message[i:], "line %d, column %d", &line, &column); n >= 1 {
			return line
		}
	}
	return 1 + bytes.Count(data, []byte("\n"))
}

// structValidator returns the shared validator, which names fields as they are named in the
// document. It is built only once because it caches the tags of the types that it has validated.
var structValidator = sync.OnceValue(func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(fieldName)
	return v
})

// Validate validates a struct that was not decoded by this package according to its "validate" tags.
// The mistakes have no file and no line.
func Validate(v any) []Mistake {
	d := &Document{lines: map[string]int{}, faultyPaths: map[string]bool{}}
	d.validate(v)
	for i := range d.mistakes {
		d.mistakes[i].Line = 0
	}
	return d.mistakes
}
