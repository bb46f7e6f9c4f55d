package job

import (
	"time"

	"github.com/cicadasill/cicadasill/routes"
)

// Age of a job.
//
// The index holds the wall-clock time at which another instance accepted a job. The clocks of machines differ and jump, so
// that time alone ends nothing: a result must not be deleted, nor an item given up, because a clock is wrong. What must not
// happen too early is measured from when this instance has read the job's record. Decisions on order and on waiting use an
// estimate of the acceptance that the recorded time can shift by maxReadLag only.

// maxReadLag bounds how long before its first read a new record is taken to have been written.
const maxReadLag = 5 * time.Second

// firstRead is when this instance read the first record of a job, by its own monotonic clock.
type firstRead struct {
	at time.Time
	// acceptedAt estimates when the job was accepted.
	acceptedAt time.Time
}

// newFirstRead returns the firstRead of a record that is read at the given time and names the wall-clock time recorded. A
// record that is not new, because it was read while loading the index, may be of any age.
func newFirstRead(at, recorded time.Time, isNew bool) firstRead {
	age := max(0, at.Sub(recorded))
	if isNew {
		age = min(age, maxReadLag)
	}
	return firstRead{at: at, acceptedAt: at.Add(-age)}
}

// AcceptedAt returns about when the job was accepted, by this instance's monotonic clock.
func (s *Summary) AcceptedAt() time.Time { return s.read.acceptedAt }

// isOlderThan reports whether the job is certainly older than d at the given time.
func (s *Summary) isOlderThan(d time.Duration, now time.Time) bool { return now.Sub(s.read.at) > d }

// giveUpAt returns the time after which the route's items of the job may be given up, or zero if they never may.
func (s *Summary) giveUpAt(route *routes.Route) time.Time {
	if route.GiveUpAfter <= 0 {
		return time.Time{}
	}
	return s.read.at.Add(route.GiveUpAfter)
}

// processStart is the origin of queue times.
var processStart = time.Now()

// queueTime returns t in milliseconds on a scale that does not jump with the wall clock.
func queueTime(t time.Time) int64 { return t.Sub(processStart).Milliseconds() }
