package health

import "time"

// The checkpoints reach back at least 3.2 s, more than the lag of load reports.
const (
	checkpointInterval = 50 * time.Millisecond
	checkpointCount    = 64
)

// loadEstimator estimates the number of requests at a back end from a lagging load report and from
// the requests that this instance has sent and finished since. Checkpoints of its counters give
// their values at the time of the report.
type loadEstimator struct {
	sent, finished int64
	checkpoints    [checkpointCount]checkpoint
	next           int        // index of the oldest checkpoint, which is overwritten next
	baseline       checkpoint // counters at the time of the newest report
}

// checkpoint holds the values of the counters at one time.
type checkpoint struct {
	at             time.Time
	sent, finished int64
}

// saveCheckpoint stores the counters before they change, at most once per checkpointInterval.
func (l *loadEstimator) saveCheckpoint(now time.Time) {
	last := l.checkpoints[(l.next+checkpointCount-1)%checkpointCount]
	if now.Sub(last.at) < checkpointInterval {
		return
	}
	l.checkpoints[l.next] = checkpoint{at: now, sent: l.sent, finished: l.finished}
	l.next = (l.next + 1) % checkpointCount
}

// setBaseline stores the values that the counters had at the time of a report: the earliest
// checkpoint not before it, or else the present values.
func (l *loadEstimator) setBaseline(at time.Time) {
	baseline := checkpoint{at: at, sent: l.sent, finished: l.finished}
	for i := range checkpointCount {
		c := l.checkpoints[(l.next+checkpointCount-1-i)%checkpointCount]
		if c.at.IsZero() || c.at.Before(at) {
			break
		}
		baseline = c
	}
	l.baseline = baseline
}

// estimate returns the estimated number of requests at the back end: the reported number plus this
// instance's change since the report, but at least this instance's own requests in flight.
func (l *loadEstimator) estimate(reported int) int {
	own := int(l.sent - l.finished)
	since := int(l.sent - l.baseline.sent - (l.finished - l.baseline.finished))
	return max(own, reported+since)
}
