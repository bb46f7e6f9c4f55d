// Package jsonc decodes JSON with comments strictly into a struct, runs the struct's
// validation tags and reports every mistake at once with its file, line and field.
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

// Mistake is one fault of a document. Field is a path such as "added[0].calls[1].name".
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

// Errors lists every mistake of a document in the order of its lines.
type Errors struct {
	Mistakes []Mistake
}

// Error implements error with one mistake per line.
func (e *Errors) Error() string {
	lines := make([]string, len(e.Mistakes))
	for i, m := range e.Mistakes {
		lines[i] = m.String()
	}
	return strings.Join(lines, "\n")
}

// Decode parses data into v, a pointer to a struct, and validates it with its "validate"
// tags. Unknown and duplicate fields are mistakes. A failure is an *Errors.
func Decode(name string, data []byte, v any) error {
	doc, err := DecodeDocument(name, data, v)
	if err != nil {
		return err
	}
	return doc.Err()
}

// DecodeDocument decodes like Decode and returns the document, so that the caller can add
// mistakes of its own checks before it asks for Err. The error is set when data is no JSON
// with comments at all.
func DecodeDocument(name string, data []byte, v any) (*Document, error) {
	doc := &Document{file: name, data: data, lines: map[string]int{}, faulty: map[string]bool{}}
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

// Document is a decoded document with the lines of its fields.
type Document struct {
	file     string
	data     []byte
	lines    map[string]int
	faulty   map[string]bool
	mistakes []Mistake
}

// Add records a mistake at field; its line is that of the field or of the nearest enclosing
// value that is present.
func (d *Document) Add(field, format string, args ...any) {
	d.faulty[field] = true
	d.mistakes = append(d.mistakes, Mistake{
		File: d.file, Line: d.Line(field), Field: field, Message: fmt.Sprintf(format, args...),
	})
}

// Line returns the line of field or of the nearest enclosing value that is present.
func (d *Document) Line(field string) int {
	for {
		if line, ok := d.lines[field]; ok {
			return line
		}
		if field == "" {
			return 1
		}
		field = parent(field)
	}
}

// Err returns nil or the *Errors with every mistake, sorted by line.
func (d *Document) Err() error {
	if len(d.mistakes) == 0 {
		return nil
	}
	sort.SliceStable(d.mistakes, func(i, j int) bool { return d.mistakes[i].Line < d.mistakes[j].Line })
	return &Errors{Mistakes: d.mistakes}
}

// lineAt returns the 1-based line of a byte offset.
func (d *Document) lineAt(offset int) int {
	offset = min(max(offset, 0), len(d.data))
	return 1 + bytes.Count(d.data[:offset], []byte("\n"))
}

// parent cuts the last element of a path: "a[0].b" gives "a[0]", "a[0]" gives "a".
func parent(path string) string {
	i := strings.LastIndexAny(path, ".[")
	if i < 0 {
		return ""
	}
	return path[:i]
}

// syntaxLine reads the line out of hujson's message; it offers no typed position.
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

// structValidator names fields as the document does. It is built once because it caches the
// tags of every type that it has seen.
var structValidator = sync.OnceValue(func() *validator.Validate {
	v := validator.New(validator.WithRequiredStructEnabled())
	v.RegisterTagNameFunc(fieldName)
	return v
})

// Validate runs the validation tags of a value that was decoded elsewhere. The mistakes have
// no file and no line.
func Validate(v any) []Mistake {
	d := &Document{lines: map[string]int{}, faulty: map[string]bool{}}
	d.validate(v)
	for i := range d.mistakes {
		d.mistakes[i].Line = 0
	}
	return d.mistakes
}
