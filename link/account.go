package link

import (
	"sort"
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadasill/cicadasill/zone"
)

// Cause says what bytes on a link are for.
type Cause string

// Causes. Overhead is what belongs to no exchange: handshakes and keepalives.
const (
	CauseProbe   Cause = "probe"
	CauseFeed    Cause = "feed"
	CauseForward Cause = "forward"
	CauseRollout Cause = "rollout"
	CauseWeights Cause = "weights"
	CauseKV      Cause = "kv"
	CauseClaim   Cause = "claim"
	CauseStore   Cause = "store"
	Overhead     Cause = "overhead"
	// causeOther stands for causes that a peer names and this version does not know; it bounds
	// the number of metric labels.
	causeOther Cause = "other"
)

func knownCause(c Cause) Cause {
	switch c {
	case CauseProbe, CauseFeed, CauseForward, CauseRollout, CauseWeights, CauseKV, CauseClaim, CauseStore, Overhead:
		return c
	}
	return causeOther
}

// LinkBytes is the traffic between two zones for one cause, as seen by one node.
type LinkBytes struct {
	From, To       zone.Zone
	Cause          Cause
	Sent, Received int64
}

type counter struct {
	sent, received         atomic.Int64
	promSent, promReceived prometheus.Counter
}

func (c *counter) add(sent, received int64) {
	c.sent.Add(sent)
	c.received.Add(received)
	c.promSent.Add(float64(sent))
	c.promReceived.Add(float64(received))
}

type account struct {
	self     zone.Zone
	vec      *prometheus.CounterVec
	mu       sync.Mutex
	counters map[accountKey]*counter
}

type accountKey struct {
	to    zone.Zone
	cause Cause
}

func newAccount(self zone.Zone, reg prometheus.Registerer) *account {
	vec := prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "cicadasill_link_bytes_total",
		Help: "Bytes written to and read from peer connections, by cause and zone pair.",
	}, []string{"from", "to", "cause", "direction"})
	if reg != nil {
		reg.MustRegister(vec)
	}
	return &account{self: self, vec: vec, counters: map[accountKey]*counter{}}
}

func (a *account) counter(to zone.Zone, cause Cause) *counter {
	k := accountKey{to, knownCause(cause)}
	a.mu.Lock()
	defer a.mu.Unlock()
	c := a.counters[k]
	if c == nil {
		c = &counter{
			promSent:     a.vec.WithLabelValues(a.self.String(), to.String(), string(k.cause), "sent"),
			promReceived: a.vec.WithLabelValues(a.self.String(), to.String(), string(k.cause), "received"),
		}
		a.counters[k] = c
	}
	return c
}

func (a *account) snapshot() []LinkBytes {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]LinkBytes, 0, len(a.counters))
	for k, c := range a.counters {
		out = append(out, LinkBytes{From: a.self, To: k.to, Cause: k.cause, Sent: c.sent.Load(), Received: c.received.Load()})
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].To != out[j].To {
			return out[i].To.String() < out[j].To.String()
		}
		return out[i].Cause < out[j].Cause
	})
	return out
}
