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

// Intervals and the metric used by the measurements.
const (
	weightsPollInterval = 20 * time.Millisecond
	baselineDuration    = 700 * time.Millisecond
	idleDuration        = 2 * time.Second
	linkBytesMetric     = "cicadasill_link_bytes_total"
)

// weightsMonitor measures the time from the announcement of a version until all samplers of the
// trained service have that version or a later one.
type weightsMonitor struct {
	r *run

	mu          sync.Mutex
	pending     map[int64]time.Time // time of announcement by version
	versions    int64
	maxSwapping int
	latencies   *hdrhistogram.Histogram // microseconds
}

func newWeightsMonitor(r *run) *weightsMonitor {
	return &weightsMonitor{r: r, pending: map[int64]time.Time{}, latencies: hdrhistogram.New(1, time.Hour.Microseconds(), 3)}
}

func (w *weightsMonitor) recordAnnouncement(version int64, at time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.versions++
	w.pending[version] = at
}

func (w *weightsMonitor) run(ctx context.Context) {
	for timing.Sleep(ctx, weightsPollInterval) {
		w.poll()
	}
}

// poll reads the versions of all samplers and records the announced versions that all of them have
// reached.
func (w *weightsMonitor) poll() {
	lowest, swapping := int64(math.MaxInt64), 0
	for _, e := range w.r.standIns.engines[w.r.deployment.trainedService] {
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
			_ = w.latencies.RecordValue(time.Since(at).Microseconds())
			delete(w.pending, v)
		}
	}
}

func (w *weightsMonitor) result() Weights {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Weights{
		Versions: w.versions, MaxSwapping: w.maxSwapping, Pending: len(w.pending),
		OnAllSamplersP99S: round(float64(w.latencies.ValueAtQuantile(99)) / 1e6),
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

// cpuFraction returns the average number of cores that this process uses during d.
func cpuFraction(ctx context.Context, d time.Duration) float64 {
	from, began := cpuTime(), time.Now()
	timing.Sleep(ctx, d)
	return float64(cpuTime()-from) / float64(time.Since(began))
}

// measureIdle measures the cost of the instances without load. baseline is the part of a core that
// the stand-ins use alone. The bytes of a connection count once, for the side that dialled it.
func (r *run) measureIdle(ctx context.Context, baseline float64) Control {
	fromInstancesTo := func(kind nodeKind) func(trafficKey) bool {
		return func(p trafficKey) bool { return p.from == entryNode && p.to == kind }
	}
	kinds := []nodeKind{entryNode, logNode, listNode, backendNode}
	before := map[nodeKind]int64{}
	for _, k := range kinds {
		before[k] = r.net.totalBytes(fromInstancesTo(k))
	}
	began := time.Now()
	used := cpuFraction(ctx, idleDuration)
	seconds, nodes := time.Since(began).Seconds(), float64(len(r.cluster.members))
	rate := map[nodeKind]float64{}
	for _, k := range kinds {
		rate[k] = math.Round(float64(r.net.totalBytes(fromInstancesTo(k))-before[k]) / seconds / nodes)
	}
	return Control{
		CoreFractionPerNode:  max(0, (used-baseline)/nodes),
		BytesPerSPerNode:     rate[entryNode] + rate[logNode] + rate[listNode],
		PeerBytesPerSPerNode: rate[entryNode], LogBytesPerSPerNode: rate[logNode], ListBytesPerSPerNode: rate[listNode],
		BackendPollBytesPerSPerNode: rate[backendNode],
	}
}

// linkBytes returns the bytes sent between regions by cause: the traffic of the instances' peer
// links, from their metrics, and the weights and KV that the store and the engines sent.
func (r *run) linkBytes() Link {
	out := crossRegionBytes(r.standIns.allEngines(), regionOf)
	home := r.deployment.zones[0].Region
	for _, t := range r.standIns.store.Transfers() {
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

// addLinkBytes adds to out, by cause, the bytes that an instance's peer links sent to other
// regions.
func addLinkBytes(out map[string]int64, reg *prometheus.Registry) {
	families, err := reg.Gather()
	if err != nil {
		return
	}
	for _, f := range families {
		if f.GetName() != linkBytesMetric {
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

// round rounds x to three decimals.
func round(x float64) float64 { return math.Round(x*1000) / 1000 }
