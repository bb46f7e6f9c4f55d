package serve

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// Ports below the range that systems use for outgoing connections (32768 and up by default).
// A port of that range may be taken by an outgoing connection while its server is down.
const (
	firstPort  = 15000
	lastPort   = 31999
	portTrials = 200
)

// listen listens at addr, or at a free loopback address when addr is empty.
func listen(addr string) (net.Listener, error) {
	if addr != "" {
		return net.Listen("tcp", addr)
	}
	var last error
	for range portTrials {
		port := firstPort + rand.IntN(lastPort-firstPort+1)
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			return ln, nil
		}
		last = err
	}
	return nil, last
}

// FreeAddr returns a free loopback address for a server that starts later.
func FreeAddr() (string, error) {
	ln, err := listen("")
	if err != nil {
		return "", &StartError{Addr: "a free port", Err: err}
	}
	defer ln.Close()
	return ln.Addr().String(), nil
}
