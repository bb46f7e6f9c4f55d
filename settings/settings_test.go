package settings_test

import (
	"errors"
	"os"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/jsonc"
	"github.com/cicadasill/cicadasill/settings"
)

// Guards against an example settings file in the repository that the daemon rejects.
func TestExampleIsValid(t *testing.T) {
	is := is.New(t)
	s, err := settings.Load("../examples/instance.jsonc")
	is.NoErr(err)
	is.Equal(s.Instance.ID, "alm-north-1")
	is.Equal(s.Telemetry.Traces.SampleRatio, 0.01)
}

// Guards against a parser that stops at the first mistake, so that an operator needs one start for
// each. All mistakes, including unknown fields, must be reported at once with line and field.
func TestAllMistakesAreReportedAtOnce(t *testing.T) {
	is := is.New(t)
	_, err := settings.Parse("bad.jsonc", []byte(`{
  "instance": { "id": "a b", "deployment": "x", "region": "almaty", "data_centre": "alm-north" },
  "listen": { "http": "nowhere", "peer": "127.0.0.1:1", "admin": "127.0.0.1:2" },
  "platform": { "log": "http://127.0.0.1:7000", "instance_list": "http://127.0.0.1:7001" },
  "telemetry": { "log_level": "loud" },
  "colour": "green",
}`))
	var mistakes *jsonc.Errors
	is.True(errors.As(err, &mistakes))
	found := map[string]int{}
	for _, m := range mistakes.Mistakes {
		is.Equal(m.File, "bad.jsonc")
		found[m.Field] = m.Line
	}
	is.Equal(found, map[string]int{"instance.id": 2, "listen.http": 3, "telemetry.log_level": 5, "colour": 6})
}

// Guards against a panic on a file that is not valid JSON, and against an untyped error for a
// missing file.
func TestUnreadableSettings(t *testing.T) {
	is := is.New(t)
	_, err := settings.Parse("bad.jsonc", []byte(`{"instance": [`))
	var mistakes *jsonc.Errors
	is.True(errors.As(err, &mistakes))
	_, err = settings.Load("missing.jsonc")
	var unreadable *settings.ReadError
	is.True(errors.As(err, &unreadable))
	is.True(errors.Is(err, os.ErrNotExist))
}

// FuzzParse checks that any input gives either settings or a *jsonc.Errors, and never a panic.
func FuzzParse(f *testing.F) {
	example, err := os.ReadFile("../examples/instance.jsonc")
	if err != nil {
		f.Fatal(err)
	}
	f.Add(example)
	f.Add([]byte(`{"instance": {"id": 1}}`))
	f.Fuzz(func(t *testing.T, data []byte) {
		_, err := settings.Parse("fuzz", data)
		var mistakes *jsonc.Errors
		if err != nil && !errors.As(err, &mistakes) {
			t.Fatalf("untyped error: %v", err)
		}
	})
}
