package health

import "time"

// Checkpoints of the own counters cover the lag of load reports.
const (
	checkpointPeriod = 50 * time.Millisecond
	checkpointCount  = 64
)

// load counts what this instance sent to a back end and what finished there. Checkpoints
// give the counters at the time of a load report.
type load struct {
	sent, finished int64
	ring           [checkpointCount]checkpoint
	next           int
	atReport       checkpoint // counters at the time of the newest report
}

type checkpoint struct {
	at             time.Time
	sent, finished int64
}

// mark stores the counters before they change, at most once per period.
func (l *load) mark(now time.Time) {
	last := l.ring[(l.next+checkpointCount-1)%checkpointCount]
	if now.Sub(last.at) < checkpointPeriod {
		return
	}
	l.ring[l.next] = checkpoint{at: now, sent: l.sent, finished: l.finished}
	l.next = (l.next + 1) % checkpointCount
}

// reported remembers the counters as they were at the report's time.
func (l *load) reported(at time.Time) {
	best := checkpoint{at: at, sent: l.sent, finished: l.finished}
	for i := range checkpointCount {
		c := l.ring[(l.next+checkpointCount-1-i)%checkpointCount]
		if c.at.IsZero() || c.at.Before(at) {
			break
		}
		best = c
	}
	l.atReport = best
}

// corrected returns the number of requests at the back end given the reported number.
func (l *load) corrected(reported int) int {
	own := int(l.sent - l.finished)
	since := int(l.sent - l.atReport.sent - (l.finished - l.atReport.finished))
	return max(own, reported+since)
}
