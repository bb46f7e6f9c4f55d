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

// Guards against a missing report whose history does not show who should have sent it and what failed.
func TestExplainShowsAMissingWindow(t *testing.T) {
	is := is.New(t)
	path := filepath.Join(t.TempDir(), "a.log")
	is.NoErr(os.WriteFile(path, []byte(`time=2026-01-01T00:00:01Z level=info msg="duty taken" instance=a duty=orders fence=3
time=2026-01-01T00:00:02Z level=info msg="usage report sent" instance=a window=7 requests=2
time=2026-01-01T00:00:03Z level=info msg="usage window sealed" instance=a window=8 requests=4
time=2026-01-01T00:00:04Z level=info msg=request instance=b request=r1
time=2026-01-01T00:00:05Z level=warn msg="usage report not confirmed" instance=a window=8 err="unexpected status 503"
time=2026-01-01T00:00:06Z level=info msg="duty taken" instance=b duty=orders fence=4
time=2026-01-01T00:00:07Z level=info msg="usage report sent" instance=b window=9 requests=1
time=2026-01-01T00:00:08Z level=info msg="usage report sent" instance=b window=10 requests=1
`), 0o600))
	var out, errOut bytes.Buffer
	is.Equal(Main(context.Background(), []string{"explain", "window/8", path}, &out, &errOut), ExitOK)
	lines := strings.Split(strings.TrimSpace(out.String()), "\n")
	is.Equal(len(lines), 5)
	for i, want := range []string{"window=7", "window=8", "not confirmed", "instance=b duty=orders fence=4", "window=9"} {
		is.True(strings.Contains(lines[i], want))
	}
	out.Reset()
	is.Equal(Main(context.Background(), []string{"explain", "window/x", path}, &out, &errOut), ExitOK) // no window, so an id that nothing is about
	is.Equal(out.String(), "")
}
