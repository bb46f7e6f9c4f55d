package instance

import (
	"errors"
	"testing"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadasill/cicadasill/flood"
	"github.com/cicadasill/cicadasill/intake"
)

// Guards against bounds that leave a small machine without memory or descriptors for its other work, or that clients inside the
// limits meet because the settings lack a value.
func TestConnectionLimitsFollowTheMachine(t *testing.T) {
	is := is.New(t)
	const mb = 1 << 20
	for _, tc := range []struct {
		memoryMB, maxFDs float64 // 0: not in the settings
		processFDs       int
		clients, peers   int
	}{
		{136, 2870, 20000, 870, 667},
		{136, 0, 20000, 870, 4950},
		{536, 8200, 20000, 3430, 2000},
		{536, 2870, 20000, 1335, 667},
		{536, 8200, 1024, 412, 206}, // the operating system allows less
		{1, 100, 20000, minConns, minConns},
	} {
		settings := LimitSettings{MemoryMB: tc.memoryMB, MaxFDs: Number{Value: tc.maxFDs, Set: tc.maxFDs > 0}}
		limits := limitConns(settings, tc.processFDs)
		is.Equal(limits.clients.Conns, tc.clients)
		is.Equal(limits.clients.ConnsPerAddr, tc.clients) // one load balancer may carry all clients
		is.Equal(limits.peers, tc.peers)
		if tc.memoryMB > 1 {
			total := float64(limits.clients.Conns)*flood.ConnCost + float64(limits.clients.HeadCost)
			is.True(total <= 0.25*tc.memoryMB*mb)
		}
	}
	settings := LimitSettings{MemoryMB: 136, MaxConnsPerAddr: Number{Value: 50, Set: true}}
	is.Equal(limitConns(settings, 20000).clients.ConnsPerAddr, 50)
}

// Guards against a batch job that is refused although another instance has room for it, because the one that the client asks drives
// nearly as many items as it may.
func TestDriverOfManyItemsTakesAJobForOthers(t *testing.T) {
	is := is.New(t)
	const (
		memory = 154 << 20
		// items are within 2 MB of itemFraction.
		items = 30_600_000
		// body is that of a job of 2.2 MB, with what is decoded from it.
		body = 3 * 2_930_000
	)
	clients := newClientMemory(memory, intake.NewMetrics(prometheus.NewRegistry()), func() int64 { return items })
	share := clients.Open(body, func() {})
	defer share.Release()
	is.NoErr(share.Resize(body))
	is.True(errors.Is(share.Resize(2*body), intake.ErrFull)) // the items still count
}
