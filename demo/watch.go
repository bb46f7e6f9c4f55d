package demo

import (
	"context"
	"math"
	"sync"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadasill/cicadasill/timing"
)

// Periods of the watchers.
const (
	weightsEvery  = 20 * time.Millisecond
	idleBaseline  = 700 * time.Millisecond
	idleMeasured  = 2 * time.Second
	linkBytesName = "cicadasill_link_bytes_total"
)

// weightsWatch measures when all samplers of the trained service have an announced version.
type weightsWatch struct {
	r *run

	mu          sync.Mutex
	pending     map[int64]time.Time
	versions    int64
	maxSwapping int
	hist        *hdrhistogram.Histogram // microseconds
}

func newWeightsWatch(r *run) *weightsWatch {
	return &weightsWatch{r: r, pending: map[int64]time.Time{}, hist: hdrhistogram.New(1, time.Hour.Microseconds(), 3)}
}

func (w *weightsWatch) announced(version int64, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.versions++
	w.pending[version] = at
}

func (w *weightsWatch) run(ctx context.Context) {
	for timing.Sleep(ctx, weightsEvery) {
		w.look()
	}
}

func (w *weightsWatch) look() {
	lowest, swapping := int64(math.MaxInt64), 0
	for _, e := range w.r.st.engines[w.r.d.trained] {
		lowest = min(lowest, e.Version())
		if e.Swapping() {
			swapping++
		}
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.maxSwapping = max(w.maxSwapping, swapping)
	for v, at := range w.pending {
		if lowest >= v {
			_ = w.hist.RecordValue(time.Since(at).Microseconds())
			delete(w.pending, v)
		}
	}
}

func (w *weightsWatch) result() Weights {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Weights{
		Versions: w.versions, MaxSwapping: w.maxSwapping, Pending: len(w.pending),
		OnAllSamplersP99S: round(float64(w.hist.ValueAtQuantile(99)) / 1e6),
	}
}

// cpuTime returns the processor time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// cpuFraction measures the cores in use during d.
func cpuFraction(ctx context.Context, d time.Duration) float64 {
	from, began := cpuTime(), time.Now()
	timing.Sleep(ctx, d)
	return float64(cpuTime()-from) / float64(time.Since(began))
}

// measureIdle measures the instances without load. baseline is the part of a core that the
// stand-ins use alone. A connection's bytes count once, at the side that dialled it.
func (r *run) measureIdle(ctx context.Context, baseline float64) Control {
	to := func(kind nodeKind) func(pair) bool {
		return func(p pair) bool { return p.from == entryNode && p.to == kind }
	}
	kinds := []nodeKind{entryNode, logNode, listNode, backendNode}
	before := map[nodeKind]int64{}
	for _, k := range kinds {
		before[k] = r.net.total(to(k))
	}
	began := time.Now()
	used := cpuFraction(ctx, idleMeasured)
	seconds, nodes := time.Since(began).Seconds(), float64(len(r.cluster.members))
	rate := map[nodeKind]float64{}
	for _, k := range kinds {
		rate[k] = math.Round(float64(r.net.total(to(k))-before[k]) / seconds / nodes)
	}
	return Control{
		CoreFractionPerNode: max(0, (used-baseline)/nodes),
		BytesPerSPerNode:    rate[entryNode] + rate[logNode] + rate[listNode],
		PeerBytesPerS:       rate[entryNode], LogBytesPerS: rate[logNode], ListBytesPerS: rate[listNode],
		BackendPollBytesPerS: rate[backendNode],
	}
}

// linkBytes sums the bytes between regions by cause: what the instances' peer links account
// for, and the weights and KV that the store and the engines sent.
func (r *run) linkBytes() Link {
	out := crossRegionBytes(r.st.allEngines(), regionOf)
	home := r.d.zones[0].Region
	for _, t := range r.st.store.Transfers() {
		if regionOf(t.Zone) != home {
			out["weights"] += t.Bytes
		}
	}
	for _, m := range r.cluster.members {
		m.mu.Lock()
		registries := append([]*prometheus.Registry(nil), m.registries...)
		m.mu.Unlock()
		for _, reg := range registries {
			addLinkBytes(out, reg)
		}
	}
	return Link{BytesByCause: out}
}

func addLinkBytes(out map[string]int64, reg *prometheus.Registry) {
	families, err := reg.Gather()
	if err != nil {
		return
	}
	for _, f := range families {
		if f.GetName() != linkBytesName {
			continue
		}
		for _, m := range f.GetMetric() {
			labels := map[string]string{}
			for _, l := range m.GetLabel() {
				labels[l.GetName()] = l.GetValue()
			}
			if labels["direction"] == "sent" && regionOf(labels["from"]) != regionOf(labels["to"]) {
				out[labels["cause"]] += int64(m.GetCounter().GetValue())
			}
		}
	}
}

// round keeps three decimals.
func round(x float64) float64 { return math.Round(x*1000) / 1000 }
