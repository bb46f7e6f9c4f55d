package feed_test

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
	"go.uber.org/goleak"
	"google.golang.org/protobuf/proto"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/control"
	"github.com/cicadasill/cicadasill/feed"
	"github.com/cicadasill/cicadasill/feed/feedsim"
	"github.com/cicadasill/cicadasill/lease"
	"github.com/cicadasill/cicadasill/link/wire"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/release"
	"github.com/cicadasill/cicadasill/standalone/platform"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against conflicting notes published at the same time: two accepted notes, a rejected note
// without a conflict verdict, or instances that disagree about the result.
func TestRacingOperators(t *testing.T) {
	is := is.New(t)
	log := feedsim.NewLog()
	d := newDeployment(t, log)
	nodes := startNodes(d, 0, 1, 2, 3, 4, 5, 6, 7, 8)
	waitReady(t, nodes...)
	base := publish(t, nodes[0], addNote("first", "desk")).Revision
	waitOffset(t, base-1, nodes...)
	verdicts := make(chan release.Verdict, len(nodes))
	for i, n := range nodes {
		n.Go(func() {
			note := &release.Note{ID: fmt.Sprint("race", i), Author: "a", Base: base, Changed: []contract.Service{service("desk", i+1)}}
			v, err := n.PublishNote(context.Background(), note)
			if err != nil {
				v.Message = err.Error()
			}
			verdicts <- v
		})
	}
	var won []release.Verdict
	for range nodes {
		v := <-verdicts
		if v.Accepted {
			won = append(won, v)
			continue
		}
		is.Equal(v.Code, release.Conflict)
		is.Equal(v.Object, "desk")
		is.True(v.ObjectRevision > base)
	}
	is.Equal(len(won), 1)
	waitOffset(t, log.Next(control.Stream)-1, nodes...)
	for _, n := range nodes {
		is.Equal(n.State().Chain, nodes[0].State().Chain)
		is.Equal(n.State().Catalog.Revision(), won[0].Revision)
	}
}

// Guards against a note that takes effect twice, or whose verdict is lost, if the log's answer to
// an append is lost. The record may or may not have been stored.
func TestLostAppendAnswers(t *testing.T) {
	is := is.New(t)
	log := feedsim.NewLog()
	d := newDeployment(t, log)
	n := startNodes(d, 0)[0]
	waitReady(t, n)
	log.SetAppendOutcomes(feedsim.AppendOutcome{Stored: true, Err: platform.OutcomeUnknown})
	is.True(publish(t, n, addNote("n1", "a")).Accepted)
	is.Equal(log.Next(control.Stream), int64(1))
	log.SetAppendOutcomes(feedsim.AppendOutcome{Err: platform.OutcomeUnknown}, feedsim.AppendOutcome{Err: platform.RateLimited})
	is.Equal(publish(t, n, addNote("n2", "b")), release.Verdict{Accepted: true, Revision: 2})
	is.Equal(publish(t, n, addNote("n2", "b")), release.Verdict{Accepted: true, Revision: 2})
	is.Equal(log.Next(control.Stream), int64(2))
	log.SetAppendOutcomes(feedsim.AppendOutcome{Stored: true, Err: platform.OutcomeUnknown})
	n.Log.SetReadsCut(true) // the record cannot be read back, so it must not be appended again
	verdict := make(chan release.Verdict, 1)
	n.Go(func() {
		v, _ := n.PublishNote(context.Background(), addNote("n5", "d"))
		verdict <- v
	})
	eventually(t, "the append", func() bool { return log.Next(control.Stream) > 2 })
	reads := n.Log.Reads()
	eventually(t, "tries to read back", func() bool { return n.Log.Reads() > reads+10 })
	n.Log.SetReadsCut(false)
	is.True((<-verdict).Accepted)
	is.Equal(log.Next(control.Stream), int64(3))
	is.Equal(publish(t, n, &release.Note{ID: "n3"}).Code, release.Invalid)
	log.SetDown(true)
	_, err := n.PublishNote(t.Context(), addNote("n4", "c"))
	var feedErr *feed.Error
	is.True(errors.As(err, &feedErr))
	is.Equal(feedErr.Code, feed.LogUnavailable)
	is.True(!n.LogReachable())
}

// Guards against a withdrawn version that becomes the newest again at an instance that boots from a
// snapshot after the record of the withdrawal has expired.
func TestWithdrawnVersionAcrossRestart(t *testing.T) {
	is := is.New(t)
	log := feedsim.NewLog()
	d := newDeployment(t, log)
	nodes := startNodes(d, 0, 1)
	waitReady(t, nodes...)
	publish(t, nodes[0], addNote("n", "lm"))
	ctx := t.Context()
	is.NoErr(nodes[0].AnnounceVersion(ctx, "lm", 1, "t"))
	is.NoErr(nodes[1].AnnounceVersion(ctx, "lm", 2, "t"))
	is.NoErr(nodes[0].WithdrawVersion(ctx, "lm", 2))
	is.NoErr(nodes[0].WithdrawVersion(ctx, "lm", 2))
	var feedErr *feed.Error
	is.True(errors.As(nodes[0].AnnounceVersion(ctx, "lm", 2, "t"), &feedErr))
	is.Equal(feedErr.Code, feed.VersionWithdrawn)
	is.True(errors.As(nodes[0].AnnounceVersion(ctx, "none", 2, "t"), &feedErr))
	is.Equal(feedErr.Code, feed.UnknownService)
	writeSnapshot(t, nodes[0])
	log.Expire(control.Stream, 4)
	for _, n := range nodes {
		d.Stop(n)
	}
	restarted := startNodes(d, 0)[0]
	waitReady(t, restarted)
	newest, offset := restarted.State().Versions.Newest("lm")
	is.Equal(newest, int64(1))
	is.Equal(offset, int64(1))
	is.True(restarted.State().Versions.Withdrawn("lm", 2))
	_, err := restarted.Append(ctx, control.Record{Kind: control.KindVersionAnnounced, Version: &control.Version{Service: "lm", Version: 2}})
	is.NoErr(err)
	newest, _ = restarted.State().Versions.Newest("lm")
	is.Equal(newest, int64(1))
}

// writeSnapshot lets a node campaign for the snapshot duty until it has written a snapshot.
func writeSnapshot(t *testing.T, n *feedsim.Node) {
	t.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	m := lease.NewManager(n.Instance, n.Follower, lease.Options{PollInterval: 2 * time.Millisecond})
	n.Go(func() { _ = m.Run(ctx) })
	n.Go(func() { _ = n.RunSnapshots(ctx, m) })
	eventually(t, "a snapshot", func() bool { return n.State().Marker.StateOffset > 0 })
}

// Guards against instances that report ready without a state, or never boot, if all of them start
// while the log is down. The state must also survive the replacement of all instances at once.
func TestAllStartWhileTheLogIsDown(t *testing.T) {
	is := is.New(t)
	log := feedsim.NewLog()
	old := newDeployment(t, log)
	first := startNodes(old, 0)[0]
	waitReady(t, first)
	for i := range 30 {
		publish(t, first, addNote(fmt.Sprint("n", i), fmt.Sprint("s", i)))
	}
	writeSnapshot(t, first)
	log.Expire(control.Stream, 25)
	before := first.State()
	old.Stop(first)
	log.SetDown(true)

	d := newDeployment(t, log)
	nodes := startNodes(d, 0, 1, 2, 3, 4, 5, 6, 7, 8)
	for _, n := range nodes {
		eventually(t, "a reason to wait", func() bool { return n.WaitingFor() == "the log (unavailable) or a peer with a state" })
		is.Equal(n.State().Offset, int64(0))
	}
	log.SetDown(false)
	waitReady(t, nodes...)
	for _, n := range nodes {
		waitOffset(t, before.Offset-1, n)
		is.Equal(n.State().Chain, before.Chain)
		is.Equal(len(n.State().Catalog.Services()), 30)
		is.Equal(n.WaitingFor(), "")
	}
}

// Guards against an instance that cannot boot from its peers while the log is down, and against one
// that keeps a peer's wrong state after the log has come back.
func TestBootFromPeers(t *testing.T) {
	is := is.New(t)
	log := feedsim.NewLog()
	d := newDeployment(t, log)
	nodes := startNodes(d, 0, 1)
	waitReady(t, nodes...)
	last := publish(t, nodes[0], addNote("n", "desk")).Revision - 1
	waitOffset(t, last, nodes...)
	log.SetDown(true)
	late := startNodes(d, 2)[0]
	waitReady(t, late)
	is.Equal(late.State().Chain, nodes[0].State().Chain)

	// Instance i000 of a second deployment follows another log, with different and more records.
	forged := newDeployment(t, log)
	other := feedsim.NewLog()
	wrong := forged.StartOn(other, "i000", "alm-north")
	waitReady(t, wrong)
	for i := range 3 {
		publish(t, wrong, addNote(fmt.Sprint("forged", i), fmt.Sprint("wrong", i)))
	}
	victim := startNodes(forged, 1)[0]
	waitReady(t, victim)
	is.Equal(victim.State().Offset, int64(3))
	log.SetDown(false)
	var feedErr *feed.Error
	is.True(errors.As(victim.Sync(t.Context()), &feedErr))
	is.Equal(feedErr.Code, feed.LogBehind)
	is.Equal(victim.State().Offset, int64(3)) // the log has one record, and the offset never moves backwards
	for i := range 3 {
		publish(t, nodes[0], addNote(fmt.Sprint("more", i), fmt.Sprint("more", i)))
	}
	forged.Stop(wrong)
	eventually(t, "the log's state", func() bool {
		return victim.State().Chain == nodes[0].State().Chain
	})
	_, exists := victim.State().Catalog.Service("wrong0")
	is.True(!exists)
}

// Guards against applying records of a peer that do not continue the local chain.
func TestForgedPush(t *testing.T) {
	is := is.New(t)
	log := feedsim.NewLog()
	n := startNodes(newDeployment(t, log), 0)[0]
	waitReady(t, n)
	publish(t, n, addNote("n", "desk"))
	data, err := control.Record{Kind: control.KindNote, Note: addNote("forged", "wrong")}.Encode()
	is.NoErr(err)
	push, err := proto.Marshal(&wire.FeedPush{Records: []*wire.FeedRecord{{Offset: 1, Data: data, Chain: 7}}})
	is.NoErr(err)
	_, err = n.HandlePush(t.Context(), push)
	is.NoErr(err)
	is.Equal(n.State().Offset, int64(1))
	is.Equal(publish(t, n, addNote("n2", "desk2")).Revision, int64(2))
	_, err = n.HandlePush(t.Context(), []byte("not a message"))
	is.True(err != nil)
}

// Guards against records that stop spreading within a data centre because its reader has crashed or
// hangs and membership has not detected it, or because a member cannot reach the log.
func TestReaderSilentAndMemberWithoutLog(t *testing.T) {
	is := is.New(t)
	log := feedsim.NewLog()
	d := newDeployment(t, log)
	nodes := startNodes(d, 0, 1, 2)
	waitReady(t, nodes...)
	reader, others := findReader(t, nodes)
	others[0].Log.SetReadsCut(true) // receives records from the reader only
	v := publish(t, others[1], addNote("n1", "a"))
	waitOffset(t, v.Revision-1, nodes...)
	is.True(others[0].LogReachable())

	reader.Halt() // remains in every view, as before membership detects the crash
	d.MakeUnresponsive(reader)
	v = publish(t, others[1], addNote("n2", "b"))
	waitOffset(t, v.Revision-1, others[1])
	eventually(t, "an unreachable log", func() bool { return !others[0].LogReachable() })
	feedsim.ExchangePositions(others[0], others[1]) // the member without the log learns the position and pulls
	waitOffset(t, v.Revision-1, others[0])
	v, err := others[1].PublishNote(t.Context(), addNote("n3", "c"))
	is.NoErr(err)
	others[0].Log.SetReadsCut(false)
	waitOffset(t, v.Revision-1, others[0]) // it reads the log itself after the stall timeout
}

// Guards against an instance that stays behind forever because the records it needs have expired in
// the log, with and without a usable snapshot in the log.
func TestExpiredOffsets(t *testing.T) {
	is := is.New(t)
	log := feedsim.NewLog()
	d := newDeployment(t, log)
	nodes := startNodes(d, 0, 3) // two data centres
	ahead, behind := nodes[0], nodes[1]
	waitReady(t, nodes...)
	behind.Log.SetReadsCut(true)
	var last release.Verdict
	for i := range 1100 { // more than the records that an instance buffers for peers
		last = publish(t, ahead, addNote(fmt.Sprint("n", i), fmt.Sprint("s", i%7)))
	}
	log.Expire(control.Stream, 1090)
	is.True(!last.Accepted)
	feedsim.ExchangePositions(ahead, behind)
	waitOffset(t, 1099, behind) // from a peer's snapshot
	is.Equal(behind.State().Chain, ahead.State().Chain)

	fresh := startNodes(d, 6)[0]
	waitReady(t, fresh) // boots from a peer, because the log has no snapshot
	is.Equal(fresh.State().Chain, ahead.State().Chain)

	d.Stop(fresh)
	writeSnapshot(t, ahead)
	_, err := log.Append(t.Context(), control.SnapshotsStream, []byte("damaged"))
	is.NoErr(err)
	alone := startNodes(newDeployment(t, log), 6)[0]
	waitReady(t, alone)
	waitOffset(t, ahead.State().Offset-1, alone)
	is.Equal(alone.State().Catalog.Revision(), ahead.State().Catalog.Revision())
}

// Guards against a member that does not answer and delays the other members of its push tree, and
// against members that read each record from the log themselves.
func TestSlowMemberAndReadsOfTheLog(t *testing.T) {
	is := is.New(t)
	log := feedsim.NewLog()
	d := newDeployment(t, log)
	var ids []int
	for i := range 40 {
		ids = append(ids, i/3*9+i%3) // all in one data centre
	}
	nodes := startNodes(d, ids...)
	waitReady(t, nodes...)
	writer := startNodes(newDeployment(t, log), 3)[0] // in another deployment, so that no member reads back its own records
	waitReady(t, writer)
	reader, others := findReader(t, nodes)
	d.MakeUnresponsive(others[0])
	for _, n := range others[1:] {
		n.Log.SetReadsCut(true) // records arrive through pushes only
	}
	before := reader.Log.Reads()
	for i := range 20 {
		publish(t, writer, addNote(fmt.Sprint("n", i), fmt.Sprint("s", i)))
	}
	waitOffset(t, 19, others...) // the unresponsive member reads the log itself
	for _, n := range others {
		is.Equal(n.State().Chain, writer.State().Chain)
	}
	t.Logf("reads of the log by the reader of 40 members for 20 records: %d", reader.Log.Reads()-before)
}

// findReader returns the only node that reads the log continuously, and the other nodes.
func findReader(t *testing.T, nodes []*feedsim.Node) (reader *feedsim.Node, others []*feedsim.Node) {
	eventually(t, "one reader", func() bool {
		before := make([]int64, len(nodes))
		for i, n := range nodes {
			before[i] = n.Log.Reads()
		}
		others = nil
		time.Sleep(150 * time.Millisecond)
		for i, n := range nodes {
			if n.Log.Reads() > before[i] {
				reader = n
			} else {
				others = append(others, n)
			}
		}
		return len(others) == len(nodes)-1
	})
	return reader, others
}

// Guards against an instance that cannot boot, publish or apply records without peers.
func TestSingleInstance(t *testing.T) {
	is := is.New(t)
	log := feedsim.NewLog()
	f := feed.New(machine.Instance{ID: "a"}, log, feed.Options{PollWait: 20 * time.Millisecond})
	ctx, stop := context.WithCancel(t.Context())
	var group conc.WaitGroup
	group.Go(func() { _ = f.Run(ctx) })
	defer group.Wait()
	defer stop()
	v, err := f.PublishNote(ctx, addNote("n", "desk"))
	is.NoErr(err)
	is.True(v.Accepted)
	_, err = log.Append(ctx, control.Stream, []byte("not JSON"))
	is.NoErr(err)
	is.NoErr(f.WaitOffset(ctx, 1))
	is.Equal(len(f.State().Catalog.Services()), 1)
}
