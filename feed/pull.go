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

// snapshotRequest as the MaxRecords of a pull requests the whole state.
const snapshotRequest = -1

// piggybackBytes is the encoded length of a position on a membership probe.
const piggybackBytes = 16

// peerPosition is a position reported by a peer.
type peerPosition struct {
	peer   machine.Instance
	offset int64
}

// Piggyback returns the encoded position that is sent with each membership probe, or nil before
// boot.
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

// ReceivePiggyback handles the position received with a peer's membership probe.
func (f *Follower) ReceivePiggyback(from machine.Instance, data []byte) {
	if len(data) != piggybackBytes || from.ID == f.self.ID {
		return
	}
	f.comparePosition(from, &wire.FeedPosition{
		Offset: int64(binary.BigEndian.Uint64(data)), Chain: binary.BigEndian.Uint64(data[8:]),
	})
}

// comparePosition starts a pull if a peer is ahead, and requests an audit if the chain hashes at
// the same offset differ.
func (f *Follower) comparePosition(from machine.Instance, position *wire.FeedPosition) {
	if position == nil {
		return
	}
	f.mu.Lock()
	if f.booted && position.GetOffset() == f.state.Offset && position.GetChain() != f.state.Chain {
		f.requestAuditLocked()
	}
	f.mu.Unlock()
	f.setPullTarget(from, position)
}

// setPullTarget requests a pull up to a peer's position if it is ahead of the local state and of
// the current target.
func (f *Follower) setPullTarget(from machine.Instance, position *wire.FeedPosition) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if position == nil || !f.booted || position.GetOffset() <= f.state.Offset || from.ID == f.self.ID {
		return
	}
	if f.pullTarget.offset <= f.state.Offset || position.GetOffset() > f.pullTarget.offset {
		f.pullTarget = peerPosition{from, position.GetOffset()}
	}
	wake(f.wakePull)
}

// pullLoop pulls records from peers that are ahead until ctx is done.
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
		target, offset := f.pullTarget, f.state.Offset
		f.pullTarget = peerPosition{}
		f.mu.Unlock()
		if target.offset <= offset {
			continue
		}
		if err := f.pullFrom(ctx, target); err != nil {
			f.opts.Logger.Debug("pull failed", "peer", target.peer.ID, "err", err)
		}
	}
}

// pullFrom pulls from a peer until the target's offset is reached or the peer returns nothing new.
func (f *Follower) pullFrom(ctx context.Context, target peerPosition) error {
	for {
		s := f.State()
		if s.Offset >= target.offset {
			return nil
		}
		answer, err := f.callPull(ctx, target.peer, &wire.FeedPull{
			Have: &wire.FeedPosition{Offset: s.Offset, Chain: s.Chain}, MaxRecords: maxReadRecords,
		})
		if err != nil {
			return err
		}
		if err := f.applyPullAnswer(ctx, answer); err != nil {
			return err
		}
		if f.State().Offset == s.Offset {
			return nil
		}
	}
}

// applyPullAnswer applies the records of a pull answer or, if the peer no longer holds them, uses
// its snapshot.
func (f *Follower) applyPullAnswer(ctx context.Context, answer *wire.FeedPullAnswer) error {
	current := f.State()
	records, _ := fromWire(answer.GetRecords())
	if len(records) > 0 {
		_, err := f.apply(records, true)
		return err
	}
	if len(answer.GetSnapshot()) == 0 {
		if answer.GetPosition().GetOffset() > current.Offset {
			// The peer holds the records, but the local position is not on its chain.
			f.mu.Lock()
			f.requestAuditLocked()
			f.mu.Unlock()
			return &Error{Code: ChainMismatch}
		}
		return nil
	}
	// A snapshot cannot be verified against the local chain, so the log is tried first. An adopted
	// snapshot is audited once the log is available.
	if f.rebuild(ctx) == nil {
		return nil
	}
	s, err := control.DecodeSnapshot(answer.GetSnapshot())
	if err != nil {
		return err
	}
	if f.adopt(s, recordBuffer{}) {
		f.mu.Lock()
		f.auditPending = true
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
	answer, err := f.answerPull(pull)
	if err != nil {
		return nil, err
	}
	data, err := proto.Marshal(answer)
	if err != nil {
		return nil, &Error{Code: Encoding, Err: err}
	}
	f.metrics.countBytes(viaPull, directionSent, len(data))
	return data, nil
}

// answerPull returns the records from the requester's position on if they are buffered, and a
// snapshot if not or on request. It returns the local position alone if the requester is not behind
// or its chain hash does not match.
func (f *Follower) answerPull(pull *wire.FeedPull) (*wire.FeedPullAnswer, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !f.booted {
		return nil, &Error{Code: NoState}
	}
	answer := &wire.FeedPullAnswer{Position: &wire.FeedPosition{Offset: f.state.Offset, Chain: f.state.Chain}}
	have := pull.GetHave()
	if pull.GetMaxRecords() != snapshotRequest {
		if have.GetOffset() >= f.state.Offset {
			return answer, nil
		}
		if records, chainBefore, ok := f.recent.from(have.GetOffset()); ok {
			if chainBefore != have.GetChain() {
				f.requestAuditLocked()
				return answer, nil
			}
			answer.Records = toWire(truncateToMessage(records))
			return answer, nil
		}
	}
	if f.snapshotState != f.state {
		data, err := control.EncodeSnapshot(f.state)
		if err != nil {
			return nil, err
		}
		f.snapshot, f.snapshotState = data, f.state
	}
	answer.Snapshot = f.snapshot
	return answer, nil
}
