package soak

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// Guards against processes that cannot start because another connection or program of this machine
// has taken one of their ports while they did not run.
func TestPortsOfProcessesAreNotTakenByOthers(t *testing.T) {
	is := is.New(t)
	addr := newAddr()
	_, port, err := net.SplitHostPort(addr)
	is.NoErr(err)
	other, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", port))
	is.NoErr(err)
	defer other.Close()
	own, err := net.Listen("tcp", addr)
	is.NoErr(err)
	client, err := net.Dial("tcp", addr)
	is.NoErr(err)
	is.Equal(client.LocalAddr().(*net.TCPAddr).IP.String(), "127.0.0.1") // outgoing connections take ports elsewhere
	is.NoErr(client.Close())
	is.NoErr(own.Close())
}
