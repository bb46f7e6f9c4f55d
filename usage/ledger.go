package usage

import "time"

// Times in the life of a window, see docs/design/usage.md.
const (
	// sealFraction is the fraction of the time until a report is due after which its window is sealed: records of instances whose
	// appends are late by a repeat have arrived, and more than half of the time is left to send the report.
	sealFraction = 0.4
	// lastChanceFraction is the fraction after which a window is sealed although reads have failed just before.
	lastChanceFraction = 0.8
	// settleTime is how long reads must have succeeded before a window is sealed: instances that were cut from the store with
	// this one append their counts meanwhile (flushTimeout, and a pause).
	settleTime = 3 * time.Second
	// maxSettleTime bounds that wait for a window whose report is late already.
	maxSettleTime = 30 * time.Second
	// maxBacklog is the number of windows that are sealed at a time, so that one append holds them.
	maxBacklog = 20
)

// isSealable reports whether the counts of a window are as complete as they will be at the given true time. steadyFor is how
// long the records of all instances have been read without a failure.
func (w Windows) isSealable(window int64, now time.Time, steadyFor time.Duration) bool {
	after := now.Sub(w.End(window))
	switch fraction := float64(after) / float64(w.Due); {
	case fraction < sealFraction:
		return false
	case steadyFor >= settleTime:
		return true
	case fraction < 1:
		return fraction >= lastChanceFraction
	default: // late already, so that completeness counts for more
		return after >= w.Due+maxSettleTime
	}
}

// ledger is what the store's records say about the windows: all up to sentThrough are sent, those above it that are in sealed are sent with
// these counts, and the counts of later ones are in byInstance.
type ledger struct {
	begun       bool // whether sentThrough is known
	sentThrough int64
	sealed      map[int64]Report
	byInstance  map[int64]map[string]counts
}

func newLedger() *ledger {
	return &ledger{sealed: map[int64]Report{}, byInstance: map[int64]map[string]counts{}}
}

// first returns the number before that of the first window to be reported, if the deployment has reported none yet: the window in
// which the holder began to read, or an earlier one in which requests were counted. It returns false until the counts of that time
// have had time to arrive.
func (l *ledger) first(w Windows, now time.Time, steadyFor time.Duration) (int64, bool) {
	first := w.At(now.Add(-steadyFor))
	for window := range l.byInstance {
		first = min(first, window)
	}
	return first - 1, steadyFor >= settleTime
}

// sealedThrough returns the newest window that is sealed or sent.
func (l *ledger) sealedThrough() int64 {
	through := l.sentThrough
	for window := range l.sealed {
		through = max(through, window)
	}
	return through
}

// toSeal returns the reports of the windows to be sealed now, the oldest first.
func (l *ledger) toSeal(w Windows, now time.Time, steadyFor time.Duration) []Report {
	var reports []Report
	for window := l.sealedThrough() + 1; len(reports) < maxBacklog && w.isSealable(window, now, steadyFor); window++ {
		reports = append(reports, Report{Window: window, Counts: l.sum(window)})
	}
	return reports
}

// sum returns the counts of all instances in a window.
func (l *ledger) sum(window int64) map[string]int64 {
	sum := map[string]int64{}
	for _, c := range l.byInstance[window] {
		for account, n := range c.ByAccount {
			sum[account] += n
		}
	}
	return sum
}

// next returns the report to be sent next: the oldest one that is sealed and later than the given window.
func (l *ledger) next(after int64) (Report, bool) {
	oldest, found := int64(0), false
	for window := range l.sealed {
		if window > after && (!found || window < oldest) {
			oldest, found = window, true
		}
	}
	return l.sealed[oldest], found
}

// obsolete returns the keys of counts that are in a sent report, at most limit.
func (l *ledger) obsolete(limit int) []string {
	var keys []string
	for window, instances := range l.byInstance {
		if window > l.sentThrough {
			continue
		}
		for key := range instances {
			if len(keys) < limit {
				keys = append(keys, key)
			}
		}
	}
	return keys
}
