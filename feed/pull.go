package feed

import (
	"context"
	"encoding/binary"

	"google.golang.org/protobuf/proto"

	"github.com/cicadasill/cicadasill/control"
	"github.com/cicadasill/cicadasill/link/wire"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/timing"
)

// wantSnapshot as the number of records asks for the whole state.
const wantSnapshot = -1

// piggybackBytes is the length of a position on a probe.
const piggybackBytes = 16

// peerPosition is a position that a peer has told.
type peerPosition struct {
	peer   machine.Instance
	offset int64
}

// Piggyback returns the position that goes with every membership probe.
func (f *Follower) Piggyback() []byte {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.booted {
		return nil
	}
	data := make([]byte, 0, piggybackBytes)
	data = binary.BigEndian.AppendUint64(data, uint64(f.state.Offset))
	return binary.BigEndian.AppendUint64(data, f.state.Chain)
}

// ReceivePiggyback takes the position that came with a peer's probe.
func (f *Follower) ReceivePiggyback(from machine.Instance, data []byte) {
	if len(data) != piggybackBytes || from.ID == f.self.ID {
		return
	}
	f.compare(from, &wire.FeedPosition{
		Offset: int64(binary.BigEndian.Uint64(data)), Chain: binary.BigEndian.Uint64(data[8:]),
	})
}

// compare starts a pull when a peer is ahead, and a comparison with the log when its chain
// hash at the same offset differs.
func (f *Follower) compare(from machine.Instance, position *wire.FeedPosition) {
	if position == nil {
		return
	}
	f.mu.Lock()
	if f.booted && position.GetOffset() == f.state.Offset && position.GetChain() != f.state.Chain {
		f.suspectLocked()
	}
	f.mu.Unlock()
	f.seek(from, position)
}

// seek makes a peer's position the target of the puller.
func (f *Follower) seek(from machine.Instance, position *wire.FeedPosition) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if position == nil || !f.booted || position.GetOffset() <= f.state.Offset || from.ID == f.self.ID {
		return
	}
	if f.target.offset <= f.state.Offset || position.GetOffset() > f.target.offset {
		f.target = peerPosition{from, position.GetOffset()}
	}
	wake(f.wakePull)
}

// pullLoop pulls from peers that are ahead.
func (f *Follower) pullLoop(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-f.wakePull:
		}
		if !timing.Sleep(ctx, jittered(f.opts.PullDelay)) {
			return
		}
		f.mu.Lock()
		target, offset := f.target, f.state.Offset
		f.target = peerPosition{}
		f.mu.Unlock()
		if target.offset <= offset {
			continue
		}
		if err := f.pullFrom(ctx, target); err != nil {
			f.opts.Logger.Debug("nothing pulled", "peer", target.peer.ID, "err", err)
		}
	}
}

// pullFrom pulls until the target's offset is reached or the peer gives nothing more.
func (f *Follower) pullFrom(ctx context.Context, target peerPosition) error {
	for {
		s := f.State()
		if s.Offset >= target.offset {
			return nil
		}
		answer, err := f.callPull(ctx, target.peer, &wire.FeedPull{
			Have: &wire.FeedPosition{Offset: s.Offset, Chain: s.Chain}, MaxRecords: readMax,
		})
		if err != nil {
			return err
		}
		if err := f.takeAnswer(ctx, answer); err != nil {
			return err
		}
		if f.State().Offset == s.Offset {
			return nil
		}
	}
}

// takeAnswer applies a peer's records or, when they are no longer held, its snapshot.
func (f *Follower) takeAnswer(ctx context.Context, answer *wire.FeedPullAnswer) error {
	own := f.State()
	records, _ := fromWire(answer.GetRecords())
	if len(records) > 0 {
		_, err := f.apply(records, true)
		return err
	}
	if len(answer.GetSnapshot()) == 0 {
		if answer.GetPosition().GetOffset() > own.Offset {
			// The peer holds the records but our position is none of its own.
			f.mu.Lock()
			f.suspectLocked()
			f.mu.Unlock()
			return &Error{Code: ChainMismatch}
		}
		return nil
	}
	// A snapshot does not show that it continues the local chain; the log does.
	if f.rebuild(ctx) == nil {
		return nil
	}
	s, err := control.DecodeSnapshot(answer.GetSnapshot())
	if err != nil {
		return err
	}
	if f.adopt(s, ring{}) {
		f.mu.Lock()
		f.suspect = true
		f.mu.Unlock()
	}
	return nil
}

// HandlePull serves PullMethod.
func (f *Follower) HandlePull(_ context.Context, payload []byte) ([]byte, error) {
	pull := &wire.FeedPull{}
	if err := proto.Unmarshal(payload, pull); err != nil {
		return nil, &Error{Code: BadMessage, Err: err}
	}
	answer, err := f.pullAnswer(pull)
	if err != nil {
		return nil, err
	}
	data, err := proto.Marshal(answer)
	if err != nil {
		return nil, &Error{Code: Encoding, Err: err}
	}
	f.metrics.count(viaPull, directionUp, len(data))
	return data, nil
}

func (f *Follower) pullAnswer(pull *wire.FeedPull) (*wire.FeedPullAnswer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.booted {
		return nil, &Error{Code: NoState}
	}
	answer := &wire.FeedPullAnswer{Position: &wire.FeedPosition{Offset: f.state.Offset, Chain: f.state.Chain}}
	have := pull.GetHave()
	if pull.GetMaxRecords() != wantSnapshot {
		if have.GetOffset() >= f.state.Offset {
			return answer, nil
		}
		if records, before, ok := f.ring.from(have.GetOffset()); ok {
			if before != have.GetChain() {
				f.suspectLocked()
				return answer, nil
			}
			answer.Records = toWire(limit(records))
			return answer, nil
		}
	}
	if f.snapshotOf != f.state {
		data, err := control.EncodeSnapshot(f.state)
		if err != nil {
			return nil, err
		}
		f.snapshot, f.snapshotOf = data, f.state
	}
	answer.Snapshot = f.snapshot
	return answer, nil
}
