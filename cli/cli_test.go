package cli_test

import (
	"bytes"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/cli"
)

// run runs the command with args and returns its exit code and what it wrote to stdout and stderr.
func run(t *testing.T, args ...string) (code int, out, errOut string) {
	t.Helper()
	var stdout, stderr bytes.Buffer
	code = cli.Main(t.Context(), args, &stdout, &stderr)
	return code, stdout.String(), stderr.String()
}

// Guards against kinds of failure with the same exit code, which scripts could not tell apart.
func TestExitCodesDifferByFailure(t *testing.T) {
	bad := filepath.Join(t.TempDir(), "bad.jsonc")
	is.New(t).NoErr(os.WriteFile(bad, []byte("{\n  \"id\": \"n\",\n  \"colour\": 1,\n}"), 0o600))
	for name, c := range map[string]struct {
		args       []string
		wantCode   int
		wantErrOut string
	}{
		"valid note":        {[]string{"note", "validate", "../examples/note.jsonc"}, cli.ExitOK, ""},
		"valid settings":    {[]string{"settings", "check", "../examples/instance.jsonc"}, cli.ExitOK, ""},
		"missing argument":  {[]string{"note", "publish"}, cli.ExitUsage, "arg"},
		"unknown flag":      {[]string{"status", "--colour"}, cli.ExitUsage, "colour"},
		"unknown fault":     {[]string{"demo", "--fault", "rain"}, cli.ExitUsage, "rain"},
		"invalid note":      {[]string{"note", "validate", bad}, cli.ExitInvalid, "bad.jsonc:3: colour"},
		"missing file":      {[]string{"note", "validate", "missing.jsonc"}, cli.ExitInvalid, "missing.jsonc"},
		"no instance there": {[]string{"--admin", "127.0.0.1:1", "status"}, cli.ExitUnreachable, "127.0.0.1:1"},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			code, _, errOut := run(t, c.args...)
			is.Equal(code, c.wantCode)
			is.True(strings.Contains(errOut, c.wantErrOut))
		})
	}
}

// Guards against --json output that a program cannot decode.
func TestJSONOutput(t *testing.T) {
	is := is.New(t)
	code, out, _ := run(t, "--json", "demo", "--list-faults")
	is.Equal(code, cli.ExitOK)
	var faults []string
	is.NoErr(json.Unmarshal([]byte(out), &faults))
	is.True(len(faults) > 10)
}
