package capacity

import (
	"context"
	"fmt"
	"math/rand/v2"
	"runtime"
	"syscall"
	"time"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/entry"
	"github.com/cicadasill/cicadasill/link"
	"github.com/cicadasill/cicadasill/release"
)

// Durations and sizes of a measurement.
const (
	// DefaultSettleTime is the wait before a measurement, in which connections are opened and leases are
	// acquired.
	DefaultSettleTime = 4 * time.Second
	// DefaultMeasureTime is the duration of one measurement.
	DefaultMeasureTime = 10 * time.Second
	measuredNotes      = 20
	minNotePause       = 100 * time.Millisecond
)

// Options configures a run of all measurements.
type Options struct {
	// Sizes are the numbers of instances to measure, at least three.
	Sizes []int
	// Backends are the numbers of back ends to measure, each with BackendInstances instances.
	Backends         []int
	BackendInstances int
	// LogLengths are the numbers of records in the control stream at which the boot time is measured.
	LogLengths  []int
	DataCentres int
	SettleTime  time.Duration
	MeasureTime time.Duration
	Seed        uint64
	// Progress is called with a description of each measurement before it; nil calls nothing.
	Progress func(string)
}

// Sample holds the figures measured at one cluster size.
type Sample struct {
	Instances, Backends int
	// CoreFraction is the processor time per node as a fraction of one core. It includes the
	// node's share of the stand-ins, which run in the same process.
	CoreFraction float64
	// BytesPerS is the traffic per node, sent and received, by target.
	BytesPerS map[Target]float64
	// PeerBytesPerS is the traffic between peers per node, sent and received, by cause.
	PeerBytesPerS map[link.Cause]float64
	// HeapMB is the live heap per node in units of 2^20 bytes.
	HeapMB float64
	// LogReadsPerS and LogAppendsPerS are the load of the whole cluster on the log.
	LogReadsPerS, LogAppendsPerS float64
	// InForceP50S and InForceMaxS are the times from the append of a note until it is in force everywhere.
	InForceP50S, InForceMaxS float64
	// DetectionS is the time from the death of an instance until no other instance counts it as live.
	DetectionS float64
}

// ControlBytesPerS returns the traffic per node with all targets together.
func (s Sample) ControlBytesPerS() float64 {
	total := 0.0
	for _, bytes := range s.BytesPerS {
		total += bytes
	}
	return total
}

// Boot is the time that an instance takes to become ready with a control stream of a given length.
type Boot struct {
	Records  int
	Snapshot bool // the instance started from a snapshot
	ReadyS   float64
}

// cpuTime returns the user and system time of this process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapBytes runs a garbage collection and returns the size of the live heap.
func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// measureCluster starts a cluster and measures its idle cost, the time until notes are in force and, with
// more than two instances, the time until a death is detected.
func measureCluster(ctx context.Context, size clusterSize, opts Options) (Sample, error) {
	heapBefore := heapBytes()
	c, err := startCluster(ctx, size)
	if err != nil {
		return Sample{}, err
	}
	defer c.close()
	if err := c.awaitAll(ctx, func(i *entry.Instance) bool { return len(i.LiveInstances()) == size.instances }); err != nil {
		return Sample{}, err
	}
	if err := sleep(ctx, opts.SettleTime); err != nil {
		return Sample{}, err
	}
	sample := c.measureIdle(ctx, size, opts.MeasureTime)
	sample.HeapMB = float64(heapBytes()-heapBefore) / float64(size.instances) / (1 << 20)
	if err := c.measureNotes(ctx, &sample, opts.Seed); err != nil {
		return sample, err
	}
	if size.instances > 2 {
		return sample, c.measureDetection(ctx, &sample)
	}
	return sample, nil
}

// measureIdle measures processor time, traffic and log load of an idle cluster.
func (c *cluster) measureIdle(ctx context.Context, size clusterSize, duration time.Duration) Sample {
	cpuBefore, start := cpuTime(), time.Now()
	bytesBefore := c.traffic.perNode(size.instances)
	causesBefore := c.peerBytes()
	reads, appends := c.log.Reads(), c.log.Appends()
	// A cancellation only shortens the measurement, since all figures are rates.
	_ = sleep(ctx, duration)
	elapsed := time.Since(start).Seconds()
	sample := Sample{
		Instances: size.instances, Backends: size.backends,
		CoreFraction:   (cpuTime() - cpuBefore).Seconds() / elapsed / float64(size.instances),
		BytesPerS:      map[Target]float64{},
		PeerBytesPerS:  map[link.Cause]float64{},
		LogReadsPerS:   float64(c.log.Reads()-reads) / elapsed,
		LogAppendsPerS: float64(c.log.Appends()-appends) / elapsed,
	}
	for target, now := range c.traffic.perNode(size.instances) {
		sample.BytesPerS[target] = (now - bytesBefore[target]) / elapsed
	}
	for cause, now := range c.peerBytes() {
		sample.PeerBytesPerS[cause] = (now - causesBefore[cause]) / elapsed / float64(size.instances)
	}
	return sample
}

// peerBytes returns the bytes that all nodes together have sent to and received from peers, by cause.
func (c *cluster) peerBytes() map[link.Cause]float64 {
	out := map[link.Cause]float64{}
	for _, instance := range c.instances {
		for _, b := range instance.LinkBytes() {
			out[b.Cause] += float64(b.Sent + b.Received)
		}
	}
	return out
}

// measureNotes publishes notes one after the other and records the times until they are in force.
func (c *cluster) measureNotes(ctx context.Context, sample *Sample, seed uint64) error {
	random := rand.New(rand.NewPCG(seed, uint64(sample.Instances)))
	times := make([]float64, 0, measuredNotes)
	base := c.instances[0].CatalogRevision()
	for n := range measuredNotes {
		start := time.Now()
		note := &release.Note{
			ID: fmt.Sprintf("measured-%d-%d", sample.Instances, n), Author: "capacity", Base: base,
			Added: []contract.Service{plainContract(fmt.Sprintf("service-%d", n), nil)},
		}
		if err := c.publish(ctx, note); err != nil {
			return err
		}
		times = append(times, time.Since(start).Seconds())
		base = c.instances[0].CatalogRevision()
		// The pause is random so that the notes do not synchronise with the timers of the instances.
		if err := sleep(ctx, minNotePause+time.Duration(random.Int64N(int64(minNotePause)))); err != nil {
			return err
		}
	}
	sample.InForceP50S, sample.InForceMaxS = median(times), maxOf(times)
	return nil
}

// measureDetection stops an instance and records the time until no other instance counts it as live.
func (c *cluster) measureDetection(ctx context.Context, sample *Sample) error {
	start := time.Now()
	id := c.killLast()
	err := c.awaitAll(ctx, func(i *entry.Instance) bool {
		for _, live := range i.LiveInstances() {
			if live.ID == id {
				return false
			}
		}
		return true
	})
	sample.DetectionS = time.Since(start).Seconds()
	return err
}

// sleep waits for d, or fails when ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}
