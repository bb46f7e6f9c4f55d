package cli

import (
	"bytes"
	"context"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/matryer/is"
)

// Guards against an item's history that lacks lines of its job from another instance's log, or includes lines
// of other items or jobs.
func TestExplainShowsAnItemWithItsJob(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	first, second := filepath.Join(dir, "a.log"), filepath.Join(dir, "b.log")
	is.NoErr(os.WriteFile(first, []byte(`time=2026-01-01T00:00:03Z level=info msg="item attempt ended" job=j1 item=i1 backend=b1 err="stream broken"
time=2026-01-01T00:00:04Z level=info msg="item attempt ended" job=j1 item=i2 backend=b1 err="other item"
time=2026-01-01T00:00:05Z level=info msg="job started" job=j2
`), 0o600))
	is.NoErr(os.WriteFile(second, []byte(`time=2026-01-01T00:00:02Z level=info msg="job taken over" job=j1 from=x#1
`), 0o600))
	var out, errOut bytes.Buffer
	code := Main(context.Background(), []string{"explain", "i1", first, second}, &out, &errOut)
	is.Equal(code, ExitOK)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 2)
	is.True(strings.Contains(lines[0], "taken over"))
	is.True(strings.Contains(lines[1], "item=i1"))
	is.Equal(Main(context.Background(), []string{"explain", "i1"}, &out, &errOut), ExitUsage)
}

// Guards against a history out of order: times are written without the zeros at their end.
func TestExplainSortsByTime(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "a.log")
	is.NoErr(os.WriteFile(path, []byte(`time=2026-01-01T00:00:03Z level=info msg=first job=j1
time=2026-01-01T00:00:03.9Z level=info msg=third job=j1
time=2026-01-01T00:00:03.25Z level=info msg=second job=j1
time=2026-01-01T00:00:03.95Z level=info msg=fourth job=j1
`), 0o600))
	var out, errOut bytes.Buffer
	is.Equal(Main(context.Background(), []string{"explain", "j1", path}, &out, &errOut), ExitOK)
	var order []string
	for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		order = append(order, strings.Fields(line)[2])
	}
	is.Equal(order, []string{"msg=first", "msg=second", "msg=third", "msg=fourth"})
}
