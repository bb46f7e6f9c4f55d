package feed

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cicadasill/cicadasill/control"
	"github.com/cicadasill/cicadasill/link"
	"github.com/cicadasill/cicadasill/link/wire"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/timing"
)

// member is an instance of the same data centre.
type member = machine.Instance

// boot obtains the first state from the log, or from peers while the log is not available, and
// retries until it succeeds. It returns false if ctx is done first.
func (f *Follower) boot(ctx context.Context) bool {
	for failures := 0; ctx.Err() == nil; failures++ {
		f.setWaitingFor("the control stream of the log")
		s, records, err := f.buildFromLog(ctx)
		if err == nil {
			f.adopt(s, records)
			f.opts.Logger.Info("booted from log", "offset", s.Offset)
			return true
		}
		f.setWaitingFor(fmt.Sprintf("the log (%s) or a peer with a state", errorCode(err)))
		if s, peer, ok := f.fetchPeerState(ctx); ok {
			f.mu.Lock()
			f.auditPending = true // compare with the log once it is available again
			f.mu.Unlock()
			f.adopt(s, recordBuffer{})
			f.opts.Logger.Info("booted from peer", "peer", peer, "offset", s.Offset)
			return true
		}
		if !timing.Sleep(ctx, jittered(f.retryDelay(failures))) {
			return false
		}
	}
	return false
}

// setWaitingFor sets the text that WaitingFor returns.
func (f *Follower) setWaitingFor(description string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waitingFor = description
}

// errorCode returns the code of a feed or platform error, which /readyz shows.
func errorCode(err error) string {
	var feedErr *Error
	if errors.As(err, &feedErr) {
		return string(feedErr.Code)
	}
	return string(platform.CodeOf(err))
}

// buildFromLog builds the state from the newest usable snapshot in the log and the control records
// after it. It falls back to older snapshots, and last to the empty state, if the records after a
// snapshot have expired.
func (f *Follower) buildFromLog(ctx context.Context) (*control.State, recordBuffer, error) {
	snapshots, err := f.readSnapshots(ctx)
	if err != nil {
		return nil, recordBuffer{}, err
	}
	for _, base := range append(snapshots, control.Empty()) {
		s, records, err := f.foldFrom(ctx, base)
		if err == nil {
			return s, records, nil
		}
		if code := platform.CodeOf(err); code != platform.Expired {
			return nil, recordBuffer{}, err
		}
	}
	return nil, recordBuffer{}, &Error{Code: HistoryLost}
}

// foldFrom applies the control records after a base state up to the end of the log.
func (f *Follower) foldFrom(ctx context.Context, s *control.State) (*control.State, recordBuffer, error) {
	var records recordBuffer
	for {
		page, err := f.readLog(ctx, control.Stream, s.Offset, 0)
		if err != nil {
			return nil, recordBuffer{}, err
		}
		if page.Next < s.Offset {
			return nil, recordBuffer{}, &Error{Code: LogBehind, Err: fmt.Errorf("log ends at offset %d, snapshot at %d", page.Next, s.Offset)}
		}
		for _, rec := range page.Records {
			next, _ := s.ApplyRecord(rec)
			records.add(chainedRecord{rec, next.Chain}, s.Chain)
			s = next
		}
		if s.Offset >= page.Next {
			f.recordLogBounds(page)
			return s, records, nil
		}
	}
}

// recordLogBounds stores the first retained and the next offset of the log.
func (f *Follower) recordLogBounds(page platform.Page) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.logFirst, f.logNext = page.First, max(f.logNext, page.Next)
}

// readSnapshots returns the usable ones of the last snapshots in the log, the highest offset first.
// The order in the log may differ, because an instance that was paused while it held the snapshot
// duty may have written an older state after a newer one.
func (f *Follower) readSnapshots(ctx context.Context) ([]*control.State, error) {
	first, next, err := f.findStreamBounds(ctx, control.SnapshotsStream)
	if err != nil || next == 0 {
		return nil, err
	}
	page, err := f.readLog(ctx, control.SnapshotsStream, max(first, next-maxSnapshotsTried), 0)
	if err != nil {
		return nil, err
	}
	var states []*control.State
	for _, rec := range page.Records {
		s, err := control.DecodeSnapshot(rec.Data)
		if err != nil {
			f.opts.Logger.Warn("unusable snapshot skipped", "offset", rec.Offset, "err", err)
			continue
		}
		states = append(states, s)
	}
	slices.SortStableFunc(states, func(a, b *control.State) int { return int(b.Offset - a.Offset) })
	return states, nil
}

// findStreamBounds returns the first retained and the next offset of a stream. The log reports both
// only with a successful read, so a start offset that has not expired is searched for by doubling.
func (f *Follower) findStreamBounds(ctx context.Context, stream string) (first, next int64, err error) {
	for from := int64(0); ; from = max(1, 2*from) {
		readCtx, cancel := context.WithTimeout(ctx, f.opts.LogTimeout)
		page, err := f.log.Read(readCtx, stream, from, 1, 0)
		cancel()
		expired := err != nil && platform.CodeOf(err) == platform.Expired
		f.metrics.logReads.Inc()
		f.recordLogContact(err == nil || expired)
		switch {
		case err == nil:
			return page.First, page.Next, nil
		case !expired || from > 1<<61:
			return 0, 0, err
		}
	}
}

// beginAuditIfDue reports whether the state must be compared with the log now. If so, it starts the
// next audit interval.
func (f *Follower) beginAuditIfDue() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.auditPending || time.Since(f.lastAudit) < f.opts.AuditInterval {
		return false
	}
	f.lastAudit = time.Now()
	return true
}

// rebuild builds the state from the log and adopts it. The log is authoritative if a state that
// came from a peer differs. The current state is kept while the log ends before its offset.
func (f *Follower) rebuild(ctx context.Context) error {
	s, records, err := f.buildFromLog(ctx)
	if err != nil {
		return err
	}
	f.metrics.rebuilds.Inc()
	current := f.State()
	if missed, chainBefore, ok := records.from(current.Offset); ok && chainBefore != current.Chain {
		f.opts.Logger.Error("local state differs from the log", "offset", current.Offset, "missed", len(missed))
	}
	if !f.adopt(s, records) {
		return &Error{Code: LogBehind, Err: fmt.Errorf("log ends at offset %d, local state at %d", s.Offset, current.Offset)}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.auditPending = false
	return nil
}

// fetchPeerState requests the state of several peers and returns the one with the highest offset
// and the id of its peer.
func (f *Follower) fetchPeerState(ctx context.Context) (best *control.State, from string, ok bool) {
	if f.opts.Peers == nil || f.opts.View == nil {
		return nil, "", false
	}
	for _, peer := range f.bootCandidates() {
		answer, err := f.callPull(ctx, peer, &wire.FeedPull{Have: &wire.FeedPosition{}, MaxRecords: snapshotRequest})
		if err != nil || len(answer.GetSnapshot()) == 0 {
			continue
		}
		s, err := control.DecodeSnapshot(answer.GetSnapshot())
		if err != nil || s.Offset != answer.GetPosition().GetOffset() || s.Chain != answer.GetPosition().GetChain() {
			f.opts.Logger.Warn("unusable peer state skipped", "peer", peer.ID, "err", err)
			continue
		}
		if best == nil || s.Offset > best.Offset {
			best, from = s, peer.ID
		}
	}
	return best, from, best != nil
}

// bootCandidates returns up to maxBootPeers peers to request a state from, the nearest first and in
// random order at the same distance.
func (f *Follower) bootCandidates() []machine.Instance {
	peers := slices.DeleteFunc(slices.Clone(f.opts.View.Live()), func(i machine.Instance) bool {
		return i.ID == f.self.ID
	})
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	slices.SortStableFunc(peers, func(a, b machine.Instance) int {
		return int(f.self.Zone.DistanceTo(a.Zone)) - int(f.self.Zone.DistanceTo(b.Zone))
	})
	return peers[:min(len(peers), maxBootPeers)]
}

// callPull sends a pull request to a peer.
func (f *Follower) callPull(ctx context.Context, peer machine.Instance, pull *wire.FeedPull) (*wire.FeedPullAnswer, error) {
	payload, err := proto.Marshal(pull)
	if err != nil {
		return nil, &Error{Code: Encoding, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, f.opts.PeerTimeout)
	defer cancel()
	f.metrics.countBytes(viaPull, directionSent, len(payload))
	data, err := f.opts.Peers.Call(ctx, peer, link.CauseFeed, PullMethod, payload)
	if err != nil {
		return nil, err
	}
	f.metrics.countBytes(viaPull, directionReceived, len(data))
	answer := &wire.FeedPullAnswer{}
	if err := proto.Unmarshal(data, answer); err != nil {
		return nil, &Error{Code: BadMessage, Err: err}
	}
	return answer, nil
}
