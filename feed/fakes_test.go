package feed_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/feed"
	"github.com/cicadasill/cicadasill/feed/feedsim"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/release"
)

// patience bounds every wait of a test; it asserts nothing about time.
const patience = 20 * time.Second

// newDeployment returns a deployment with short periods.
func newDeployment(t testing.TB, log *feedsim.Log) *feedsim.Deployment {
	d := feedsim.New(log, feed.Options{
		StallAfter: 200 * time.Millisecond, Heartbeat: 40 * time.Millisecond, PollWait: 50 * time.Millisecond,
		PullDelay: 5 * time.Millisecond, RetryDelay: 5 * time.Millisecond, PeerTimeout: 200 * time.Millisecond,
		LogTimeout: time.Second, AuditEvery: 20 * time.Millisecond, SnapshotRecords: 20,
	})
	t.Cleanup(d.Close)
	return d
}

// start starts instances; three ids in a row share a data centre.
func start(d *feedsim.Deployment, ids ...int) []*feedsim.Node {
	nodes := make([]*feedsim.Node, len(ids))
	for i, id := range ids {
		nodes[i] = d.Start(fmt.Sprintf("i%03d", id), []string{"alm-north", "alm-south", "shym-east"}[id/3%3])
	}
	return nodes
}

func waitOffset(t testing.TB, offset int64, nodes ...*feedsim.Node) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	is.New(t).NoErr(feedsim.WaitOffset(ctx, offset, nodes...))
}

func waitReady(t testing.TB, nodes ...*feedsim.Node) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), patience)
	defer cancel()
	is.New(t).NoErr(feedsim.WaitReady(ctx, nodes...))
}

// eventually waits for a condition that must come true.
func eventually(t testing.TB, what string, holds func() bool) {
	t.Helper()
	for deadline := time.Now().Add(patience); !holds(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("never: " + what)
		}
	}
}

func service(name string, queue int) contract.Service {
	return contract.Service{
		Name: name, Kind: machine.Plain, QueueLimit: queue,
		Calls: []contract.Call{{Name: "book", Priority: contract.Staff}},
	}
}

func addNote(id, name string) *release.Note {
	return &release.Note{ID: id, Author: "a", Added: []contract.Service{service(name, 0)}}
}

func publish(t testing.TB, n *feedsim.Node, note *release.Note) release.Verdict {
	t.Helper()
	v, err := n.PublishNote(context.Background(), note)
	if err != nil {
		t.Fatalf("note %s: %v", note.ID, err)
	}
	return v
}
