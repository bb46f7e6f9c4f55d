package instance

import (
	"errors"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/jsonc"
)

const goodSettings = `{
  // comment
  "instance": {"id": "edge-1", "region": "r", "data_centre": "a"},
  "listen": {"clients": "10.0.0.1:80", "ready": "10.0.0.1:81", "peers": "10.0.0.1:82", "metrics": "10.0.0.1:9464"},
  "store": {"addr": "10.0.0.2:80", "partitions": 8, "writes_per_s": 800, "reads_per_s": 2000.0},
  "jobs": {"retention_s": 120, "slot_share": 1},
  "limits": {"memory_mb": 324},
  "stop": {"grace_s": 8},
}`

// load writes text to a settings file and loads it.
func load(t *testing.T, text string) (*Settings, error) {
	path := filepath.Join(t.TempDir(), "settings.jsonc")
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	return LoadSettings(path)
}

// Guards against misreading settings: comments, trailing commas and numbers, and defaults.
func TestSettingsAreRead(t *testing.T) {
	is := is.New(t)
	s, err := load(t, goodSettings)
	is.NoErr(err)
	is.Equal(s.Store.ReadsPerS, 2000.0)
	is.Equal(s.Telemetry.LogLevel, DefaultLogLevel)
}

// Guards against starting with invalid settings, and against reporting only the first mistake.
func TestEveryErrorIsReported(t *testing.T) {
	is := is.New(t)
	_, err := load(t, `{
  "instance": {"id": "edge-1", "region": "r", "data_centre": ""},
  "listen": {"clients": "nowhere", "ready": "10.0.0.1:81", "peers": "10.0.0.1:82"},
  "store": {"addr": "10.0.0.2:80", "partitions": 0, "writes_per_s": 800, "reads_per_s": 2000},
  "jobs": {"retention_s": 120, "slot_share": 2},
  "limits": {"memory_mb": 324},
  "stop": {"grace_s": 8},
  "unknown": 1,
}`)
	var mistakes *jsonc.Errors
	is.True(errors.As(err, &mistakes))
	fields := map[string]bool{}
	for _, m := range mistakes.Mistakes {
		fields[m.Field] = true
	}
	for _, want := range []string{"instance.data_centre", "listen.clients", "store.partitions", "jobs.slot_share", "unknown"} {
		is.True(fields[want])
	}
}
