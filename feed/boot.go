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

// boot gets a first state from the log or from peers. It reports false when ctx ends before.
func (f *Follower) boot(ctx context.Context) bool {
	for failures := 0; ctx.Err() == nil; failures++ {
		f.setWaiting("the control stream of the log")
		s, records, err := f.build(ctx)
		if err == nil {
			f.adopt(s, records)
			f.opts.Logger.Info("booted from the log", "offset", s.Offset)
			return true
		}
		f.setWaiting(fmt.Sprintf("the log (%s) or a peer with a state", reason(err)))
		if s, peer, ok := f.askPeers(ctx); ok {
			f.mu.Lock()
			f.suspect = true // compared with the log once it is back
			f.mu.Unlock()
			f.adopt(s, ring{})
			f.opts.Logger.Info("booted from a peer", "peer", peer, "offset", s.Offset)
			return true
		}
		if !timing.Sleep(ctx, jittered(f.retryDelay(failures))) {
			return false
		}
	}
	return false
}

func (f *Follower) setWaiting(what string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waiting = what
}

// reason names an error's code for /readyz.
func reason(err error) string {
	var own *Error
	if errors.As(err, &own) {
		return string(own.Code)
	}
	return string(platform.CodeOf(err))
}

// build folds the state anew from the newest usable snapshot and the control stream.
func (f *Follower) build(ctx context.Context) (*control.State, ring, error) {
	bases, err := f.snapshots(ctx)
	if err != nil {
		return nil, ring{}, err
	}
	for _, base := range append(bases, control.Empty()) {
		s, records, err := f.foldFrom(ctx, base)
		if err == nil {
			return s, records, nil
		}
		if code := platform.CodeOf(err); code != platform.Expired {
			return nil, ring{}, err
		}
	}
	return nil, ring{}, &Error{Code: HistoryLost}
}

// foldFrom folds the control stream from a base state to the log's end.
func (f *Follower) foldFrom(ctx context.Context, s *control.State) (*control.State, ring, error) {
	var records ring
	for {
		page, err := f.read(ctx, control.Stream, s.Offset, 0)
		if err != nil {
			return nil, ring{}, err
		}
		if page.Next < s.Offset {
			return nil, ring{}, &Error{Code: LogBehind, Err: fmt.Errorf("it ends at %d, the snapshot at %d", page.Next, s.Offset)}
		}
		for _, rec := range page.Records {
			next, _ := s.ApplyRecord(rec)
			records.add(chained{rec, next.Chain}, s.Chain)
			s = next
		}
		if s.Offset >= page.Next {
			f.noteBounds(page)
			return s, records, nil
		}
	}
}

func (f *Follower) noteBounds(page platform.Page) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.first, f.head = page.First, max(f.head, page.Next)
}

// snapshots returns the last usable snapshots, the one with the highest offset first. A holder
// that was paused may have written an older state after a newer one.
func (f *Follower) snapshots(ctx context.Context) ([]*control.State, error) {
	first, next, err := f.bounds(ctx, control.SnapshotsStream)
	if err != nil || next == 0 {
		return nil, err
	}
	page, err := f.read(ctx, control.SnapshotsStream, max(first, next-snapshotsTried), 0)
	if err != nil {
		return nil, err
	}
	var states []*control.State
	for _, rec := range page.Records {
		s, err := control.DecodeSnapshot(rec.Data)
		if err != nil {
			f.opts.Logger.Warn("snapshot not used", "offset", rec.Offset, "err", err)
			continue
		}
		states = append(states, s)
	}
	slices.SortStableFunc(states, func(a, b *control.State) int { return int(b.Offset - a.Offset) })
	return states, nil
}

// bounds finds the first retained and the next offset of a stream. The log tells both only
// with a successful read, so an expired start is searched for by doubling.
func (f *Follower) bounds(ctx context.Context, stream string) (first, next int64, err error) {
	for from := int64(0); ; from = max(1, 2*from) {
		readCtx, cancel := context.WithTimeout(ctx, f.opts.LogTimeout)
		page, err := f.log.Read(readCtx, stream, from, 1, 0)
		cancel()
		expired := err != nil && platform.CodeOf(err) == platform.Expired
		f.metrics.logReads.Inc()
		f.noteContact(err == nil || expired)
		switch {
		case err == nil:
			return page.First, page.Next, nil
		case !expired || from > 1<<61:
			return 0, 0, err
		}
	}
}

// auditDue reports whether the state must be compared with the log, and starts the interval.
func (f *Follower) auditDue() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.suspect || time.Since(f.lastAudit) < f.opts.AuditEvery {
		return false
	}
	f.lastAudit = time.Now()
	return true
}

// rebuild folds the state from the log and adopts it: the log decides when a state that came
// from a peer differs. The state keeps its offset until the log's fold has reached it.
func (f *Follower) rebuild(ctx context.Context) error {
	s, records, err := f.build(ctx)
	if err != nil {
		return err
	}
	f.metrics.rebuilds.Inc()
	own := f.State()
	if tail, before, ok := records.from(own.Offset); ok && before != own.Chain {
		f.opts.Logger.Error("the local state differed from the log", "offset", own.Offset, "missed", len(tail))
	}
	if !f.adopt(s, records) {
		return &Error{Code: LogBehind, Err: fmt.Errorf("it ends at %d, applied up to %d", s.Offset, own.Offset)}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	f.suspect = false
	return nil
}

// askPeers asks several peers for their state and returns the one with the highest offset.
func (f *Follower) askPeers(ctx context.Context) (best *control.State, from string, ok bool) {
	if f.opts.Peers == nil || f.opts.View == nil {
		return nil, "", false
	}
	for _, peer := range f.bootCandidates() {
		answer, err := f.callPull(ctx, peer, &wire.FeedPull{Have: &wire.FeedPosition{}, MaxRecords: wantSnapshot})
		if err != nil || len(answer.GetSnapshot()) == 0 {
			continue
		}
		s, err := control.DecodeSnapshot(answer.GetSnapshot())
		if err != nil || s.Offset != answer.GetPosition().GetOffset() || s.Chain != answer.GetPosition().GetChain() {
			f.opts.Logger.Warn("state of a peer not used", "peer", peer.ID, "err", err)
			continue
		}
		if best == nil || s.Offset > best.Offset {
			best, from = s, peer.ID
		}
	}
	return best, from, best != nil
}

// bootCandidates returns some peers in random order, those of the own region first.
func (f *Follower) bootCandidates() []machine.Instance {
	peers := slices.DeleteFunc(slices.Clone(f.opts.View.Live()), func(i machine.Instance) bool {
		return i.ID == f.self.ID
	})
	rand.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	slices.SortStableFunc(peers, func(a, b machine.Instance) int {
		return int(f.self.Zone.DistanceTo(a.Zone)) - int(f.self.Zone.DistanceTo(b.Zone))
	})
	return peers[:min(len(peers), bootPeers)]
}

// callPull asks a peer for records or its state.
func (f *Follower) callPull(ctx context.Context, peer machine.Instance, pull *wire.FeedPull) (*wire.FeedPullAnswer, error) {
	payload, err := proto.Marshal(pull)
	if err != nil {
		return nil, &Error{Code: Encoding, Err: err}
	}
	ctx, cancel := context.WithTimeout(ctx, f.opts.PeerTimeout)
	defer cancel()
	f.metrics.count(viaPull, directionUp, len(payload))
	data, err := f.opts.Peers.Call(ctx, peer, link.CauseFeed, PullMethod, payload)
	if err != nil {
		return nil, err
	}
	f.metrics.count(viaPull, directionIn, len(data))
	answer := &wire.FeedPullAnswer{}
	if err := proto.Unmarshal(data, answer); err != nil {
		return nil, &Error{Code: BadMessage, Err: err}
	}
	return answer, nil
}
