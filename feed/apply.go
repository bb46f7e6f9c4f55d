package feed

import (
	"errors"
	"fmt"

	"github.com/cicadasill/cicadasill/control"
	"github.com/cicadasill/cicadasill/standalone/platform"
)

// chained is one applied record with the chain hash after it.
type chained struct {
	platform.Record
	chain uint64
}

// ring holds the last applied records, in order, for peers that are behind.
type ring struct {
	records []chained
	// base is the chain hash before the first record.
	base  uint64
	bytes int
}

func (r *ring) add(c chained, before uint64) {
	if len(r.records) == 0 {
		r.base = before
	}
	r.records = append(r.records, c)
	r.bytes += len(c.Data)
	drop := 0
	for len(r.records)-drop > ringRecords || (r.bytes > ringBytes && len(r.records)-drop > 1) {
		r.base = r.records[drop].chain
		r.bytes -= len(r.records[drop].Data)
		drop++
	}
	if drop > 0 {
		r.records = append([]chained(nil), r.records[drop:]...)
	}
}

// from returns the records from an offset and the chain hash before them; false when they are
// not all held.
func (r *ring) from(offset int64) ([]chained, uint64, bool) {
	if len(r.records) == 0 || offset < r.records[0].Offset {
		return nil, 0, false
	}
	i := int(offset - r.records[0].Offset)
	if i > len(r.records) {
		return nil, 0, false
	}
	if i == 0 {
		return r.records, r.base, true
	}
	return r.records[i:], r.records[i-1].chain, true
}

// limit cuts records to what fits into one message.
func limit(records []chained) []chained {
	size := 0
	for i := range records {
		size += len(records[i].Data)
		if i > 0 && (i >= readMax || size > pushBytes) {
			return records[:i]
		}
	}
	return records
}

// apply applies records from the log or, with verify, from a peer, whose chain hashes must
// agree. Records that are applied already are skipped. It returns the number applied.
func (f *Follower) apply(records []chained, verify bool) (int, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.booted {
		return 0, &Error{Code: NotReady}
	}
	applied := 0
	for _, rec := range records {
		switch {
		case rec.Offset < f.state.Offset:
			continue
		case rec.Offset > f.state.Offset:
			f.publishLocked(applied)
			return applied, &Error{Code: Gap, Err: fmt.Errorf("record %d after offset %d", rec.Offset, f.state.Offset)}
		}
		chain := control.NextChain(f.state.Chain, rec.Offset, rec.Data)
		if verify && chain != rec.chain {
			f.suspectLocked()
			f.publishLocked(applied)
			return applied, &Error{Code: ChainMismatch, Err: fmt.Errorf("record %d", rec.Offset)}
		}
		next, err := f.state.ApplyRecord(rec.Record)
		f.countSkip(rec.Offset, err)
		f.ring.add(chained{rec.Record, chain}, f.state.Chain)
		f.state = next
		applied++
	}
	f.publishLocked(applied)
	return applied, nil
}

func (f *Follower) countSkip(offset int64, err error) {
	var skip *control.SkipError
	if errors.As(err, &skip) {
		f.metrics.skipped.WithLabelValues(string(skip.Reason)).Inc()
		f.opts.Logger.Debug("control record without effect", "offset", offset, "reason", skip.Reason)
	}
}

// publishLocked announces a change of the state.
func (f *Follower) publishLocked(applied int) {
	if applied == 0 {
		return
	}
	f.head = max(f.head, f.state.Offset)
	f.metrics.offset.Set(float64(f.state.Offset))
	f.metrics.lag.Set(float64(f.head - f.state.Offset))
	close(f.changed)
	f.changed = make(chan struct{})
	wake(f.wakePush)
}

// adopt replaces the state by one that was built elsewhere. The offset never moves backwards.
func (f *Follower) adopt(s *control.State, records ring) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.booted && s.Offset < f.state.Offset {
		return false
	}
	f.state, f.ring = s, records
	if !f.booted {
		f.booted, f.waiting = true, ""
		close(f.ready)
	}
	f.publishLocked(1)
	return true
}

// suspectLocked asks for a comparison with the log.
func (f *Follower) suspectLocked() {
	f.metrics.mismatches.Inc()
	if !f.suspect {
		f.opts.Logger.Warn("chain hash differs from that of a peer", "offset", f.state.Offset)
	}
	f.suspect = true
}
