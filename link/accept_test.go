package link

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// Guards against strangers that hold all connections of a node, so that its peers cannot connect, and against a peer whose
// connection is closed for a stranger's.
func TestStrangersMakeRoomForPeers(t *testing.T) {
	is := is.New(t)
	accepted := newAcceptedConns(3, nil)
	pipe := func() (net.Conn, net.Conn) {
		own, other := net.Pipe()
		t.Cleanup(func() { _ = own.Close(); _ = other.Close() })
		return own, other
	}
	peerConn, _ := pipe()
	peer := accepted.admit(peerConn)
	peer.establish()
	for range 10 {
		stranger, _ := pipe()
		is.True(accepted.admit(stranger) != nil)
	}
	is.True(!peer.entry.Closed())
	open, _ := accepted.table.Usage()
	is.Equal(open, 3)
	second, _ := pipe()
	accepted.admit(second).establish()
	third, _ := pipe()
	last := accepted.admit(third)
	last.establish()
	refused, _ := pipe()
	is.True(accepted.admit(refused) == nil) // peers are not closed for a newcomer
	is.NoErr(last.Close())
	next, _ := pipe()
	is.True(accepted.admit(next) != nil)
}
