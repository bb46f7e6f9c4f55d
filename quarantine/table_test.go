package quarantine

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/backends"
	"github.com/cicadasill/cicadasill/changelog/logtest"
	"github.com/cicadasill/cicadasill/telemetry"
)

// Guards against a back end that gets no requests, or a request that is held back, for as long as the clock of the instance that
// has seen the crash is ahead of this one's.
func TestCrashInTheFutureCountsFromNow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		directory := backends.New()
		directory.Put(backends.Entry{ID: "b", Service: "s", Slots: 1, StartedUnixMs: 1})
		table := New(Options{
			Log: logtest.New(1), Backends: directory, Rank: func(string) int { return 0 }, Logger: telemetry.Discard(),
		})
		id := IdentityOf("h", "POST", "/x", []byte("x"))
		for n, backend := range []string{"b", "c", "d"} {
			crash := Crash{Backend: backend, StartedUnixMs: 1, AtUnixMs: time.Now().Add(time.Hour + time.Duration(n)*time.Second).UnixMilli()}
			table.apply(keyOf(id.Request, crash), &crash)
			time.Sleep(time.Second)
		}
		is.Equal(len(directory.Candidates("s", "")), 0)
		is.True(table.Check(id, CallerThreshold).BlockedFor <= maxHold)
		time.Sleep(maxHold + suspicionTime)
		is.Equal(len(directory.Candidates("s", "")), 1)
		is.Equal(table.Check(id, CallerThreshold).BlockedFor, time.Duration(0))
	})
}
