package serve

import (
	"fmt"
	"math/rand/v2"
	"net"
)

// Listening ports lie below the ephemeral range of the system (32768 and up by default). An
// outgoing connection could occupy a port of that range while its server is down.
const (
	firstPort       = 15000
	lastPort        = 31999
	maxPortAttempts = 200
)

// listen listens at addr, or at a free loopback address when addr is empty.
func listen(addr string) (net.Listener, error) {
	if addr != "" {
		return net.Listen("tcp", addr)
	}
	var last error
	for range maxPortAttempts {
		port := firstPort + rand.IntN(lastPort-firstPort+1)
		ln, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", port))
		if err == nil {
			return ln, nil
		}
		last = err
	}
	return nil, last
}

// FreeAddrs returns n different free loopback addresses for servers that start later. Another
// process may take one in the meantime, in which case the caller must request new ones.
func FreeAddrs(n int) ([]string, error) {
	out := make([]string, 0, n)
	for range n {
		ln, err := listen("")
		if err != nil {
			return nil, &StartError{Addr: "a free port", Err: err}
		}
		defer ln.Close()
		out = append(out, ln.Addr().String())
	}
	return out, nil
}
