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

// Methods of the exchanges between feeds.
const (
	PushMethod = "feed.push"
	PullMethod = "feed.pull"
)

// positionMark in the time field marks a push entry without a record, which tells the
// reader's position only.
const positionMark = -1

// HandlePush serves PushMethod: it applies the records and passes them on.
func (f *Follower) HandlePush(_ context.Context, payload []byte) ([]byte, error) {
	push := &wire.FeedPush{}
	if err := proto.Unmarshal(payload, push); err != nil {
		return nil, &Error{Code: BadMessage, Err: err}
	}
	f.metrics.count(viaPush, directionIn, len(payload))
	f.pass(push.GetRecords(), push.GetTargets())
	f.noteReaderHeard()
	records, mark := fromWire(push.GetRecords())
	if _, err := f.apply(records, true); err != nil {
		f.seek(f.reader(), mark)
		return nil, nil
	}
	f.compare(f.reader(), mark)
	return nil, nil
}

// noteReaderHeard records that the reader reads the log.
func (f *Follower) noteReaderHeard() {
	f.noteProgress()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.contact = time.Now()
}

// fromWire returns the records of a message and the position after the last entry.
func fromWire(entries []*wire.FeedRecord) ([]chained, *wire.FeedPosition) {
	var records []chained
	var position *wire.FeedPosition
	for _, e := range entries {
		if e.GetTimeUnixMs() == positionMark {
			position = &wire.FeedPosition{Offset: e.GetOffset(), Chain: e.GetChain()}
			continue
		}
		position = &wire.FeedPosition{Offset: e.GetOffset() + 1, Chain: e.GetChain()}
		records = append(records, chained{platform.Record{
			Offset: e.GetOffset(), Data: e.GetData(), Time: time.UnixMilli(e.GetTimeUnixMs()),
		}, e.GetChain()})
	}
	return records, position
}

func toWire(records []chained) []*wire.FeedRecord {
	out := make([]*wire.FeedRecord, len(records))
	for i, r := range records {
		out[i] = &wire.FeedRecord{Offset: r.Offset, Data: r.Data, Chain: r.chain, TimeUnixMs: max(0, r.Time.UnixMilli())}
	}
	return out
}

// pushLoop pushes new records, and the position when there are none, while this instance is
// the reader and the log answers.
func (f *Follower) pushLoop(ctx context.Context) {
	heartbeat := time.NewTicker(f.opts.Heartbeat)
	defer heartbeat.Stop()
	pushed := f.State().Offset
	for {
		beat := false
		select {
		case <-ctx.Done():
			return
		case <-heartbeat.C:
			beat = true
		case <-f.wakePush:
		}
		if !f.isReader() {
			pushed = f.State().Offset
			continue
		}
		pushed = f.pushFrom(pushed, beat)
	}
}

// pushFrom pushes the records from an offset on and returns the offset after them.
func (f *Follower) pushFrom(pushed int64, beat bool) int64 {
	targets := f.targets()
	for {
		entries, next := f.pushEntries(pushed, beat)
		if len(entries) == 0 {
			return next
		}
		f.pass(entries, targets)
		if next == pushed {
			return next
		}
		pushed, beat = next, false
	}
}

// pushEntries returns the entries of the next push. A heartbeat is sent only while the log
// answers, so that members without a working reader read the log themselves.
func (f *Follower) pushEntries(pushed int64, beat bool) ([]*wire.FeedRecord, int64) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if records, _, ok := f.ring.from(pushed); ok && len(records) > 0 {
		records = limit(records)
		return toWire(records), records[len(records)-1].Offset + 1
	}
	working := f.contact.After(f.failure)
	jumped := pushed < f.state.Offset // the records are not held: members pull them
	if working && (beat || jumped) {
		mark := &wire.FeedRecord{Offset: f.state.Offset, Chain: f.state.Chain, TimeUnixMs: positionMark}
		return []*wire.FeedRecord{mark}, f.state.Offset
	}
	return nil, f.state.Offset
}

// targets returns the ids of the other members of the data centre.
func (f *Follower) targets() []string {
	var ids []string
	for _, i := range f.zoneMembers() {
		if i.ID != f.self.ID {
			ids = append(ids, i.ID)
		}
	}
	return ids
}

// pass sends entries to the targets in a tree: each child gets a part of the targets to pass
// the entries on to.
func (f *Follower) pass(entries []*wire.FeedRecord, targets []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	ctx := f.running
	if ctx == nil || f.opts.Peers == nil || f.opts.View == nil {
		return
	}
	for _, group := range split(targets, FanOut) {
		select {
		case f.sends <- struct{}{}:
			f.tasks.Go(func() {
				defer func() { <-f.sends }()
				f.sendGroup(ctx, entries, group)
			})
		default:
			// The members hear of the records by probes and pull them.
			f.metrics.pushDropped.Inc()
		}
	}
}

// sendGroup sends to the first reachable member of a group, which passes on to the rest.
func (f *Follower) sendGroup(ctx context.Context, entries []*wire.FeedRecord, group []string) {
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
		if f.send(ctx, to, &wire.FeedPush{Records: entries, Targets: rest}) {
			return
		}
		f.metrics.pushFailures.Inc()
	}
}

func (f *Follower) send(ctx context.Context, to machine.Instance, push *wire.FeedPush) bool {
	payload, err := proto.Marshal(push)
	if err != nil {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, f.opts.PeerTimeout)
	defer cancel()
	f.metrics.count(viaPush, directionUp, len(payload))
	_, err = f.opts.Peers.Call(ctx, to, link.CauseFeed, PushMethod, payload)
	return err == nil
}

// split divides ids into at most n groups of nearly equal size.
func split(ids []string, n int) [][]string {
	n = min(n, len(ids))
	groups := make([][]string, 0, n)
	for i := range n {
		groups = append(groups, ids[i*len(ids)/n:(i+1)*len(ids)/n])
	}
	return groups
}
