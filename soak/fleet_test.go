package soak

import (
	"net"
	"testing"

	"github.com/matryer/is"
)

// Guards against a process that cannot restart because another connection or program on this machine
// has taken one of its ports in the meantime.
func TestProcessPortsAreNotTakenByOthers(t *testing.T) {
	is := is.New(t)
	addr := uniqueAddr()
	_, port, err := net.SplitHostPort(addr)
	is.NoErr(err)
	other, err := net.Listen("tcp", net.JoinHostPort("127.0.0.1", port))
	is.NoErr(err)
	defer other.Close()
	own, err := net.Listen("tcp", addr)
	is.NoErr(err)
	client, err := net.Dial("tcp", addr)
	is.NoErr(err)
	is.Equal(client.LocalAddr().(*net.TCPAddr).IP.String(), "127.0.0.1") // outgoing connections use ports of another address
	is.NoErr(client.Close())
	is.NoErr(own.Close())
}
