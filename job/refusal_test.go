package job

import (
	"context"
	"fmt"
	"net"
	"os"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/changelog"
	"github.com/cicadasill/cicadasill/link"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/relay"
	"github.com/cicadasill/cicadasill/telemetry"
)

// Guards against a driver that sends items by an old index because its connection to the store has gone silent: the kernel's
// time-out shows no refusal by the store, which may answer others, also those that end jobs.
func TestLostConnectionIsNoRefusal(t *testing.T) {
	is := is.New(t)
	err := fmt.Errorf("read: %w", &changelog.SilentConnectionError{
		Err: &net.OpError{Op: "read", Net: "tcp", Err: os.NewSyscallError("read", syscall.ETIMEDOUT)},
	})
	is.True(!maySend(time.Minute, err))
}

// timedOutStore is a store that does not answer.
type timedOutStore struct{ changelog.Log }

func (timedOutStore) Read(context.Context, changelog.Partition, int64, time.Duration) (changelog.Batch, error) {
	return changelog.Batch{}, context.DeadlineExceeded
}

// refusingPeer passes calls to a peer.
type refusingPeer struct{ handler link.Handler }

func (p refusingPeer) Call(ctx context.Context, _ machine.Instance, _ link.Cause, _ string, payload []byte) ([]byte, error) {
	return p.handler(ctx, payload)
}

// Guards against a driver that takes the refusal of a peer, which does not reach the store either, for one of the store.
func TestPeersWithoutTheStoreAreNoRefusal(t *testing.T) {
	is := is.New(t)
	p := changelog.Partition{Topic: "t"}
	peer := relay.New(relay.Options{Direct: timedOutStore{}, Peers: func() []machine.Instance { return nil }, Logger: telemetry.Discard()})
	_, _ = peer.Read(t.Context(), p, 0, 0) // the peer loses the store
	log := relay.New(relay.Options{
		Direct: timedOutStore{}, Caller: refusingPeer{peer.Handle}, Logger: telemetry.Discard(),
		Peers: func() []machine.Instance { return []machine.Instance{{ID: "peer"}} },
	})
	_, err := log.Read(t.Context(), p, 0, 0)
	t.Log(err)
	is.True(err != nil)
	is.True(!maySend(time.Minute, err))
}
