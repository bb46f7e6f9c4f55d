package instance

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadasill/cicadasill/link"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/telemetry"
)

// Guards against a process that exceeds its grace time because a peer's call through it does not end, such as
// one to a store that does not answer.
func TestStopDoesNotWaitForPeers(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1)
	s := *c.members[0].settings
	s.Instance.ID = "stopping"
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	stopping := New(&s, telemetry.Discard(), prometheus.NewRegistry())
	is.NoErr(stopping.Listen())
	entered := make(chan struct{})
	stopping.node.Handle("hang", func(ctx context.Context, _ []byte) ([]byte, error) {
		close(entered)
		<-ctx.Done()
		return nil, ctx.Err()
	})
	ended := make(chan error, 1)
	go func() { ended <- stopping.Run(ctx) }()

	peer := link.NewNode(machine.Instance{ID: "peer", Incarnation: 1}, link.Options{})
	t.Cleanup(peer.Close)
	self := machine.Instance{ID: "stopping", Incarnation: stopping.self.Incarnation, PeerAddr: stopping.peerListener.Addr().String()}
	go func() { _, _ = peer.Call(t.Context(), self, link.CauseForward, "hang", nil) }()
	<-entered
	cancel()
	select {
	case err := <-ended:
		is.NoErr(err)
	case <-time.After(exitMargin):
		t.Error("the instance has not ended within exitMargin")
		<-ended
	}
}
