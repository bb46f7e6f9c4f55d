package jsonc_test

import (
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/jsonc"
)

type inner struct {
	Name string  `json:"name" validate:"required"`
	Part float64 `json:"part" validate:"gt=0,lte=1"`
}

type outer struct {
	ID    string         `json:"id" validate:"required"`
	Count int            `json:"count" validate:"gte=0"`
	List  []inner        `json:"list" validate:"unique=Name,dive"`
	Ptr   *inner         `json:"ptr,omitempty"`
	Map   map[string]int `json:"map,omitempty"`
}

// Guards against a decoder that stops at the first mistake or reports a mistake at the wrong line.
func TestEveryMistakeIsReportedWithItsLine(t *testing.T) {
	is := is.New(t)
	data := `{
  // a comment
  "id": 7,
  "count": -1,
  "colour": "red",
  "list": [
    {"name": "a", "part": 0.5},
    {"part": 2,},
  ],
  "ptr": {
    "nmae": "x"
  },
  "count": 3,
}`
	var v outer
	err := jsonc.Decode("settings.jsonc", []byte(data), &v)
	var errs *jsonc.Errors
	is.True(errors.As(err, &errs))
	got := map[string]int{}
	for _, m := range errs.Mistakes {
		is.Equal(m.File, "settings.jsonc")
		got[m.Field+" "+m.Message] = m.Line
	}
	want := map[string]int{
		"id number given, string expected": 3,
		"count must satisfy gte=0":         4,
		"colour unknown field":             5,
		"list[1].name is required":         8,
		"list[1].part must satisfy lte=1":  8,
		"ptr.nmae unknown field":           11,
		"ptr.name is required":             10,
		"ptr.part must satisfy gt=0":       10,
		"count field given twice":          13,
	}
	is.Equal(fmt.Sprint(got), fmt.Sprint(want))
}

// Guards against a decoder that rejects comments, trailing commas or nulls in a valid document.
func TestCorrectDocument(t *testing.T) {
	is := is.New(t)
	var v outer
	is.NoErr(jsonc.Decode("x", []byte("{\"id\":\"a\", /* c */ \"ptr\":null, \"map\":{\"k\":2},}"), &v))
	is.Equal(v, outer{ID: "a", Map: map[string]int{"k": 2}})
}

// Guards against a syntax error without the number of its line.
func TestSyntaxErrorHasLine(t *testing.T) {
	is := is.New(t)
	var v outer
	var errs *jsonc.Errors
	is.True(errors.As(jsonc.Decode("x", []byte("{\n\"id\" 3}"), &v), &errs))
	is.Equal(errs.Mistakes[0].Line, 2)
}
