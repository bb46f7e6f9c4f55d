package link

import (
	"sort"
	"sync"
	"sync/atomic"

	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadasill/cicadasill/zone"
)

// Cause is the purpose of bytes on a connection, by which they are counted.
type Cause string

// Causes. CauseOverhead covers the bytes that belong to no exchange: handshakes and keepalives.
const (
	CauseProbe     Cause = "probe"
	CauseFeed      Cause = "feed"
	CauseForward   Cause = "forward"
	CauseRollout   Cause = "rollout"
	CauseWeights   Cause = "weights"
	CauseKV        Cause = "kv"
	CauseClaim     Cause = "claim"
	CauseStore     Cause = "store"
	CauseRateLimit Cause = "rate_limit"
	CauseOverhead  Cause = "overhead"
	// causeOther replaces every cause that a peer names and this version does not know, which
	// bounds the number of metric labels.
	causeOther Cause = "other"
)

// knownCause returns c, or causeOther when this version does not know c.
func knownCause(c Cause) Cause {
	switch c {
	case CauseProbe, CauseFeed, CauseForward, CauseRollout, CauseWeights, CauseKV, CauseClaim, CauseStore, CauseRateLimit, CauseOverhead:
		return c
	}
	return causeOther
}

// Traffic is the traffic between two zones for one cause, in bytes as counted by one node.
type Traffic struct {
	From, To       zone.Zone
	Cause          Cause
	Sent, Received int64
}

// counter counts the bytes exchanged with one zone for one cause, for Node.Bytes and as metrics.
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

// account holds the byte counters of a node, one for each peer zone and cause.
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

// counter returns the counter for a peer zone and a cause, and creates it on first use.
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

func (a *account) snapshot() []Traffic {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]Traffic, 0, len(a.counters))
	for k, c := range a.counters {
		out = append(out, Traffic{From: a.self, To: k.to, Cause: k.cause, Sent: c.sent.Load(), Received: c.received.Load()})
	}
	sort.Slice(out, func(i, j int) bool {
		if out[i].To != out[j].To {
			return out[i].To.String() < out[j].To.String()
		}
		return out[i].Cause < out[j].Cause
	})
	return out
}
