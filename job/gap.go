package job

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadasill/cicadasill/changelog"
)

// gapRepairInterval is the time between two loads of a partition for a gap that the loads before did not close.
const gapRepairInterval = 30 * time.Second

// GapError reports a record with results that follow others which this instance's copy of the partition lacks.
type GapError struct {
	Key string
	// Expected is the next position of the copy, Found the first one of the record.
	Expected, Found int
	Offset          int64
}

// Error implements error.
func (e *GapError) Error() string {
	return fmt.Sprintf("record %s at offset %d has results from position %d on, the copy ends before %d", e.Key, e.Offset, e.Found, e.Expected)
}

// newGapCounter returns a counter of the gaps in results. registerer may be nil.
func newGapCounter(registerer prometheus.Registerer) prometheus.Counter {
	counter := prometheus.NewCounter(prometheus.CounterOpts{Name: "cicadasill_result_gaps_total",
		Help: "Batch jobs of which this instance's copy of the results was found to lack a position."})
	if registerer != nil {
		registerer.MustRegister(counter)
	}
	return counter
}

// resultsGap is a gap in the results of a job, from its discovery until a load has closed it.
type resultsGap struct {
	loads    int       // since the discovery
	loadedAt time.Time // of the last load
}

// earlyResults are the results of a record that follows a gap.
type earlyResults struct {
	record changelog.Record
	value  resultsRecord
}

// gap returns the gap before the first results that could not be appended, or nil.
func (j *jobData) gap() *GapError {
	if len(j.early) == 0 {
		return nil
	}
	first := j.early[slices.Min(slices.Collect(maps.Keys(j.early)))]
	return &GapError{Key: first.record.Key, Expected: len(j.results), Found: first.value.Position, Offset: first.record.Offset}
}

// isListed reports whether an item has a listed result, also after a gap.
func (j *jobData) isListed(item string) bool {
	if _, ok := j.positions[item]; ok {
		return true
	}
	for _, early := range j.early {
		if slices.ContainsFunc(early.value.Results, func(r Result) bool { return r.Item == item }) {
			return true
		}
	}
	return false
}

// checkGap reports a gap in the results of a job, unless it is known. Within a load it does nothing, since records may be
// applied in another order than that of their positions.
func (s *partitionState) checkGap(id ID, j *jobData) {
	gap := j.gap()
	if gap == nil || s.loading {
		return
	}
	if _, known := s.gaps[id]; known {
		return
	}
	s.gaps[id] = &resultsGap{}
	s.gapsFound.Inc()
	s.log.Error("gap in results", "job", id, "key", gap.Key, "expected", gap.Expected, "found", gap.Found, "offset", gap.Offset)
}

// Loaded implements changelog.LoadObserver. It forgets the gaps that the load has closed.
func (s *partitionState) Loaded() {
	s.loading = false
	for id, known := range s.gaps {
		known.loads++
		known.loadedAt = time.Now()
		j := s.jobs[id]
		switch {
		case j == nil || j.gap() == nil:
			s.log.Info("gap in results closed by a load", "job", id, "loads", known.loads)
			delete(s.gaps, id)
		case known.loads == 1:
			s.log.Error("gap in results remains after a load", "job", id, "err", j.gap())
		}
	}
	for id, j := range s.jobs {
		s.checkGap(id, j)
	}
}

// Incomplete implements changelog.IntegrityChecker.
func (s *partitionState) Incomplete() bool {
	for _, gap := range s.gaps {
		if gap.loads == 0 || time.Since(gap.loadedAt) >= gapRepairInterval {
			return true
		}
	}
	return false
}
