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

// waitTimeout bounds every wait of a test. Tests assert nothing about durations.
const waitTimeout = 20 * time.Second

// newDeployment returns a deployment with short intervals and timeouts.
func newDeployment(t testing.TB, log *feedsim.Log) *feedsim.Deployment {
	d := feedsim.New(log, feed.Options{
		StallTimeout: 200 * time.Millisecond, HeartbeatInterval: 40 * time.Millisecond, PollWait: 50 * time.Millisecond,
		PullDelay: 5 * time.Millisecond, RetryDelay: 5 * time.Millisecond, PeerTimeout: 200 * time.Millisecond,
		LogTimeout: time.Second, AuditInterval: 20 * time.Millisecond, SnapshotRecords: 20,
	})
	t.Cleanup(d.Close)
	return d
}

// startNodes starts one instance per id. Each data centre gets three consecutive ids.
func startNodes(d *feedsim.Deployment, ids ...int) []*feedsim.Node {
	nodes := make([]*feedsim.Node, len(ids))
	for i, id := range ids {
		nodes[i] = d.Start(fmt.Sprintf("i%03d", id), []string{"alm-north", "alm-south", "shym-east"}[id/3%3])
	}
	return nodes
}

// waitOffset waits until every node has applied the record at offset.
func waitOffset(t testing.TB, offset int64, nodes ...*feedsim.Node) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	is.New(t).NoErr(feedsim.WaitOffset(ctx, offset, nodes...))
}

// waitReady waits until every node has booted.
func waitReady(t testing.TB, nodes ...*feedsim.Node) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	is.New(t).NoErr(feedsim.WaitReady(ctx, nodes...))
}

// eventually waits until a condition is true and fails the test after waitTimeout.
func eventually(t testing.TB, description string, condition func() bool) {
	t.Helper()
	for deadline := time.Now().Add(waitTimeout); !condition(); time.Sleep(2 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("condition not reached: " + description)
		}
	}
}

// service returns a plain service with the given queue limit.
func service(name string, queue int) contract.Service {
	return contract.Service{
		Name: name, Kind: machine.Plain, QueueLimit: queue,
		Calls: []contract.Call{{Name: "book", Priority: contract.Staff}},
	}
}

// addNote returns a note that adds a service.
func addNote(id, name string) *release.Note {
	return &release.Note{ID: id, Author: "a", Added: []contract.Service{service(name, 0)}}
}

// publish publishes a note at a node and returns its verdict.
func publish(t testing.TB, n *feedsim.Node, note *release.Note) release.Verdict {
	t.Helper()
	v, err := n.PublishNote(context.Background(), note)
	if err != nil {
		t.Fatalf("note %s: %v", note.ID, err)
	}
	return v
}
