package feed

import (
	"context"
	"time"

	"github.com/cicadasill/cicadasill/control"
	"github.com/cicadasill/cicadasill/lease"
	"github.com/cicadasill/cicadasill/timing"
)

// SnapshotDuty is the name of the lease duty of writing snapshots.
const SnapshotDuty = "snapshot"

// RunSnapshots campaigns for the snapshot duty and writes snapshots while this instance holds it,
// until ctx is done.
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
				f.opts.Logger.Warn("campaign for the snapshot duty failed", "err", err)
				timing.Sleep(ctx, maxRetryDelay)
			}
			continue
		}
		f.writeSnapshotsWhileHeld(ctx, held)
	}
	return nil
}

// writeSnapshotsWhileHeld writes a snapshot whenever one is due, until the lease is lost or ctx is
// done.
func (f *Follower) writeSnapshotsWhileHeld(ctx context.Context, held *lease.Held) {
	// The time of the previous holder's last snapshot is unknown, so the first one is due at once.
	var lastWritten time.Time
	for {
		changed := f.Changed()
		if f.snapshotDue(lastWritten) && held.Valid(f.opts.LogTimeout) {
			if err := f.writeSnapshot(ctx); err != nil {
				f.opts.Logger.Warn("writing the snapshot failed", "err", err)
				if !timing.Sleep(ctx, maxRetryDelay) || isClosed(held.Lost()) {
					return
				}
				continue
			}
			lastWritten = time.Now()
		}
		timer := time.NewTimer(f.opts.Retention / snapshotsPerRetention)
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

// isClosed reports whether ch is closed.
func isClosed(ch <-chan struct{}) bool {
	select {
	case <-ch:
		return true
	default:
		return false
	}
}

// snapshotDue reports whether a snapshot is due: enough records or time have passed since the last
// one, relative to the retention of the log.
func (f *Follower) snapshotDue(lastWritten time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	records := f.state.Offset - f.state.Marker.StateOffset
	if records <= 1 { // at most the snapshot marker itself
		return false
	}
	threshold := f.opts.SnapshotRecords
	if f.logFirst > 0 {
		threshold = min(threshold, max(minSnapshotRecords, (f.logNext-f.logFirst)/snapshotsPerRetention))
	}
	return records >= threshold || time.Since(lastWritten) >= f.opts.Retention/snapshotsPerRetention
}

// writeSnapshot appends the current state to the snapshots stream and a marker to the control
// stream. Writing the same snapshot twice is harmless.
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
