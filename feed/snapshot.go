package feed

import (
	"context"
	"time"

	"github.com/cicadasill/cicadasill/control"
	"github.com/cicadasill/cicadasill/lease"
	"github.com/cicadasill/cicadasill/timing"
)

// SnapshotDuty is the lease duty of writing snapshots.
const SnapshotDuty = "snapshot"

// RunSnapshots writes snapshots while this instance holds the snapshot duty, until ctx ends.
func (f *Follower) RunSnapshots(ctx context.Context, leases *lease.Manager) error {
	select {
	case <-ctx.Done():
		return nil
	case <-f.ready:
	}
	for ctx.Err() == nil {
		held, err := leases.Campaign(ctx, SnapshotDuty)
		if err != nil {
			if ctx.Err() == nil {
				f.opts.Logger.Warn("no campaign for the snapshot duty", "err", err)
				timing.Sleep(ctx, maxRetryDelay)
			}
			continue
		}
		f.snapshotWhileHeld(ctx, held)
	}
	return nil
}

// snapshotWhileHeld writes a snapshot whenever one is due.
func (f *Follower) snapshotWhileHeld(ctx context.Context, held *lease.Held) {
	// The time of the predecessor's last snapshot is not known, so one is due at once.
	var written time.Time
	for {
		changed := f.Changed()
		if f.snapshotDue(written) && held.Valid(f.opts.LogTimeout) {
			if err := f.writeSnapshot(ctx); err != nil {
				f.opts.Logger.Warn("snapshot not written", "err", err)
				if !timing.Sleep(ctx, maxRetryDelay) || isClosed(held.Lost()) {
					return
				}
				continue
			}
			written = time.Now()
		}
		timer := time.NewTimer(f.opts.Retention / retentionParts)
		select {
		case <-ctx.Done():
		case <-held.Lost():
		case <-changed:
		case <-timer.C:
		}
		timer.Stop()
		if ctx.Err() != nil || isClosed(held.Lost()) {
			return
		}
	}
}

func isClosed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// snapshotDue reports whether enough records or enough time have passed since the last
// snapshot, measured against the log's retention.
func (f *Follower) snapshotDue(written time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	since := f.state.Offset - f.state.Marker.StateOffset
	if since <= 1 { // at most the marker itself
		return false
	}
	threshold := f.opts.SnapshotRecords
	if f.first > 0 {
		threshold = min(threshold, max(minSnapshotRecords, (f.head-f.first)/retentionParts))
	}
	return since >= threshold || time.Since(written) >= f.opts.Retention/retentionParts
}

// writeSnapshot appends the current state and a marker. A snapshot written twice is harmless.
func (f *Follower) writeSnapshot(ctx context.Context) error {
	s := f.State()
	data, err := control.EncodeSnapshot(s)
	if err != nil {
		return err
	}
	offset, err := f.append(ctx, control.SnapshotsStream, data)
	if err != nil {
		return err
	}
	_, err = f.Append(ctx, control.Record{Kind: control.KindSnapshotMarker, Marker: &control.Marker{
		SnapshotOffset: offset, StateOffset: s.Offset,
	}})
	f.opts.Logger.Info("snapshot written", "state_offset", s.Offset, "bytes", len(data))
	return err
}
