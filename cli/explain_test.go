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

// Guards against a refused read of a job whose history shows neither what its instance had lost nor the calls that failed
// meanwhile, or shows those of other instances and times.
func TestExplainShowsWhyAReadWasRefused(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	refusing, other := filepath.Join(dir, "a.log"), filepath.Join(dir, "b.log")
	is.NoErr(os.WriteFile(refusing, []byte(`time=2026-01-01T00:00:01Z level=info msg="instance started" n=1
time=2026-01-01T00:00:02Z level=warn msg="store lost" read=index err=timeout n=2
time=2026-01-01T00:00:02.5Z level=info msg="store regained" read=index n=3
time=2026-01-01T00:00:02.6Z level=warn msg="store lost" read=entries err=timeout n=4
time=2026-01-01T00:00:02.7Z level=warn msg="call failed" target=10.0.0.1:80/log took=1s err=timeout n=5
time=2026-01-01T00:00:04.5Z level=warn msg="call failed" target=10.0.0.1:80/log took=900ms err=timeout n=6
time=2026-01-01T00:00:05Z level=warn msg="read of a job refused" call=results job=j1 step=partition_load took=1.3s err=timeout n=7
time=2026-01-01T00:00:05.1Z level=info msg="store regained" read=entries n=8
`), 0o600))
	is.NoErr(os.WriteFile(other, []byte(`time=2026-01-01T00:00:04.6Z level=warn msg="call failed" target=10.0.0.1:80/log took=900ms err=timeout n=9
time=2026-01-01T00:00:04.7Z level=info msg="results listed" job=j1 n=10
`), 0o600))
	var out, errOut bytes.Buffer
	is.Equal(Main(context.Background(), []string{"explain", "j1", refusing, other}, &out, &errOut), ExitOK)
	var shown []string
	for _, line := range strings.Split(strings.TrimSpace(out.String()), "\n") {
		shown = append(shown, line[strings.LastIndex(line, "n="):])
	}
	is.Equal(shown, []string{"n=1", "n=3", "n=4", "n=6", "n=10", "n=7"})
}

// Guards against a request refused for its key whose history does not show what configuration its instance had, or shows that of others.
func TestExplainShowsWhyAKeyWasRefused(t *testing.T) {
	for reason, want := range map[string]int{"unknown_key": 4, "stale_configuration": 4, "several_keys": 1} {
		t.Run(reason, func(t *testing.T) {
			is := is.New(t)
			dir := t.TempDir()
			refusing, other := filepath.Join(dir, "a.log"), filepath.Join(dir, "b.log")
			is.NoErr(os.WriteFile(refusing, []byte(`time=2026-01-01T00:00:01Z msg="configuration in force" instance=a version=6
time=2026-01-01T00:00:02Z msg="configuration in force" instance=a version=7
time=2026-01-01T00:00:03Z msg="store lost" instance=a read=entries
time=2026-01-01T00:00:04Z msg="store lost" instance=a read=operators
time=2026-01-01T00:00:05Z msg="configuration grows old" instance=a age=1.5s
time=2026-01-01T00:00:08Z msg="request refused" instance=a request=r1 reason=`+reason+` status=503 config=7 config_age=5s
`), 0o600))
			is.NoErr(os.WriteFile(other, []byte(`time=2026-01-01T00:00:07Z msg="configuration in force" instance=b version=8
`), 0o600))
			var out, errOut bytes.Buffer
			is.Equal(Main(context.Background(), []string{"explain", "r1", refusing, other}, &out, &errOut), ExitOK)
			lines := strings.Split(strings.TrimSpace(out.String()), "\n")
			is.Equal(len(lines), want)
			is.True(strings.Contains(lines[0], "version=7") || want == 1)
		})
	}
}

// Guards against the job of a client account that cannot be looked up by the ID that its client gave it.
func TestExplainFindsJobsOfAccounts(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "a.log")
	is.NoErr(os.WriteFile(path, []byte(`time=2026-01-01T00:00:01Z msg="job submitted" job=acme:j1
time=2026-01-01T00:00:02Z msg="job submitted" job=acme:xj1
time=2026-01-01T00:00:03Z msg="item attempt ended" job=acme:j1 item=i1
`), 0o600))
	var out, errOut bytes.Buffer
	is.Equal(Main(context.Background(), []string{"explain", "j1", path}, &out, &errOut), ExitOK)
	is.Equal(strings.Count(out.String(), "\n"), 2)
}
