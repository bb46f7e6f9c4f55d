package feed

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/cicadasill/cicadasill/link"
	"github.com/cicadasill/cicadasill/link/wire"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/standalone/platform"
)

// RPC methods between feeds.
const (
	PushMethod = "feed.push"
	PullMethod = "feed.pull"
)

// positionOnly, as the time of a push entry, marks an entry that carries the reader's position and
// no record.
const positionOnly = -1

// HandlePush serves PushMethod. It forwards the entries to the targets and applies the records.
func (f *Follower) HandlePush(_ context.Context, payload []byte) ([]byte, error) {
	push := &wire.FeedPush{}
	if err := proto.Unmarshal(payload, push); err != nil {
		return nil, &Error{Code: BadMessage, Err: err}
	}
	f.metrics.countBytes(viaPush, directionReceived, len(payload))
	f.pushToTargets(push.GetRecords(), push.GetTargets())
	f.recordReaderContact()
	records, position := fromWire(push.GetRecords())
	if _, err := f.apply(records, true); err != nil {
		f.setPullTarget(f.reader(), position)
		return nil, nil
	}
	f.comparePosition(f.reader(), position)
	return nil, nil
}

// recordReaderContact postpones the stall deadline and counts a push as a successful contact with
// the log.
func (f *Follower) recordReaderContact() {
	f.resetStallDeadline()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lastLogSuccess = time.Now()
}

// fromWire decodes the entries of a message into records and the position after the last entry.
func fromWire(entries []*wire.FeedRecord) ([]chainedRecord, *wire.FeedPosition) {
	var records []chainedRecord
	var position *wire.FeedPosition
	for _, e := range entries {
		if e.GetTimeUnixMs() == positionOnly {
			position = &wire.FeedPosition{Offset: e.GetOffset(), Chain: e.GetChain()}
			continue
		}
		position = &wire.FeedPosition{Offset: e.GetOffset() + 1, Chain: e.GetChain()}
		records = append(records, chainedRecord{platform.Record{
			Offset: e.GetOffset(), Data: e.GetData(), Time: time.UnixMilli(e.GetTimeUnixMs()),
		}, e.GetChain()})
	}
	return records, position
}

// toWire encodes records as message entries.
func toWire(records []chainedRecord) []*wire.FeedRecord {
	out := make([]*wire.FeedRecord, len(records))
	for i, r := range records {
		out[i] = &wire.FeedRecord{Offset: r.Offset, Data: r.Data, Chain: r.chain, TimeUnixMs: max(0, r.Time.UnixMilli())}
	}
	return out
}

// pushLoop pushes new records while this instance is the reader. Without new records it pushes its
// position at each heartbeat while the log is reachable.
func (f *Follower) pushLoop(ctx context.Context) {
	heartbeat := time.NewTicker(f.opts.HeartbeatInterval)
	defer heartbeat.Stop()
	nextOffset := f.State().Offset
	for {
		isHeartbeat := false
		select {
		case <-ctx.Done():
			return
		case <-heartbeat.C:
			isHeartbeat = true
		case <-f.wakePush:
		}
		if !f.isReader() {
			nextOffset = f.State().Offset
			continue
		}
		nextOffset = f.pushFrom(nextOffset, isHeartbeat)
	}
}

// pushFrom pushes the records from an offset on and returns the offset to continue from.
func (f *Follower) pushFrom(from int64, isHeartbeat bool) int64 {
	targets := f.pushTargets()
	for {
		entries, next := f.pushEntries(from, isHeartbeat)
		if len(entries) == 0 {
			return next
		}
		f.pushToTargets(entries, targets)
		if next == from {
			return next
		}
		from, isHeartbeat = next, false
	}
}

// pushEntries returns the entries of the next push and the offset after them. A position is sent
// only while the log is reachable, so that members whose reader cannot reach the log read it
// themselves.
func (f *Follower) pushEntries(from int64, isHeartbeat bool) ([]*wire.FeedRecord, int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if records, _, ok := f.recent.from(from); ok && len(records) > 0 {
		records = truncateToMessage(records)
		return toWire(records), records[len(records)-1].Offset + 1
	}
	logReachable := f.lastLogSuccess.After(f.lastLogFailure)
	skipsRecords := from < f.state.Offset // the records are not buffered, so members pull them
	if logReachable && (isHeartbeat || skipsRecords) {
		position := &wire.FeedRecord{Offset: f.state.Offset, Chain: f.state.Chain, TimeUnixMs: positionOnly}
		return []*wire.FeedRecord{position}, f.state.Offset
	}
	return nil, f.state.Offset
}

// pushTargets returns the ids of the other live members of the data centre.
func (f *Follower) pushTargets() []string {
	var ids []string
	for _, i := range f.zoneMembers() {
		if i.ID != f.self.ID {
			ids = append(ids, i.ID)
		}
	}
	return ids
}

// pushToTargets sends entries to the targets through a tree: each child receives a share of the
// targets to forward the entries to.
func (f *Follower) pushToTargets(entries []*wire.FeedRecord, targets []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ctx := f.runCtx
	if ctx == nil || f.opts.Peers == nil || f.opts.View == nil {
		return
	}
	for _, group := range splitEvenly(targets, PushFanOut) {
		select {
		case f.sendSlots <- struct{}{}:
			f.sendTasks.Go(func() {
				defer func() { <-f.sendSlots }()
				f.pushToGroup(ctx, entries, group)
			})
		default:
			// The members learn the position from membership probes and pull the records.
			f.metrics.pushDropped.Inc()
		}
	}
}

// pushToGroup sends entries to the first reachable member of a group, which forwards them to the
// rest.
func (f *Follower) pushToGroup(ctx context.Context, entries []*wire.FeedRecord, group []string) {
	live := map[string]machine.Instance{}
	for _, i := range f.opts.View.Live() {
		live[i.ID] = i
	}
	for len(group) > 0 && ctx.Err() == nil {
		child, rest := group[0], group[1:]
		group = rest
		to, ok := live[child]
		if !ok {
			continue
		}
		if f.sendPush(ctx, to, &wire.FeedPush{Records: entries, Targets: rest}) {
			return
		}
		f.metrics.pushFailures.Inc()
	}
}

// sendPush sends a push to one instance and reports whether it was answered.
func (f *Follower) sendPush(ctx context.Context, to machine.Instance, push *wire.FeedPush) bool {
	payload, err := proto.Marshal(push)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, f.opts.PeerTimeout)
	defer cancel()
	f.metrics.countBytes(viaPush, directionSent, len(payload))
	_, err = f.opts.Peers.Call(ctx, to, link.CauseFeed, PushMethod, payload)
	return err == nil
}

// splitEvenly divides ids into at most n groups of nearly equal size.
func splitEvenly(ids []string, n int) [][]string {
	n = min(n, len(ids))
	groups := make([][]string, 0, n)
	for i := range n {
		groups = append(groups, ids[i*len(ids)/n:(i+1)*len(ids)/n])
	}
	return groups
}
