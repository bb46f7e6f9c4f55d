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

// Times of a measurement.
const (
	// DefaultSettle lets connections open and leases be taken before a measurement.
	DefaultSettle = 4 * time.Second
	// DefaultMeasure is the length of one measurement.
	DefaultMeasure = 10 * time.Second
	notesMeasured  = 20
	noteSpacing    = 100 * time.Millisecond
)

// Options configure a run of all measurements.
type Options struct {
	// Sizes are numbers of instances, at least three.
	Sizes []int
	// Backends are numbers of back ends, measured at BackendInstances instances.
	Backends         []int
	BackendInstances int
	// LogLengths are numbers of records in the control stream for the boot time.
	LogLengths  []int
	DataCentres int
	Settle      time.Duration
	Measure     time.Duration
	Seed        uint64
	// Progress is told what is measured; nil means nobody.
	Progress func(string)
}

// Sample is the cost of one cluster size.
type Sample struct {
	Instances, Backends int
	// CoreFraction is the processor time per node as a fraction of one core. It includes the
	// node's share of the stand-ins, which run in the same process.
	CoreFraction float64
	// BytesPerS is the traffic per node, sent and received, by target.
	BytesPerS map[Target]float64
	// PeerBytesPerS is the traffic between peers per node, sent and received, by cause.
	PeerBytesPerS map[link.Cause]float64
	// HeapMB is the live heap per node in megabytes.
	HeapMB float64
	// LogReadsPerS and LogAppendsPerS are the load of the whole cluster on the log.
	LogReadsPerS, LogAppendsPerS float64
	// InForceP50S and InForceMaxS are the times from the append of a note until it is in force everywhere.
	InForceP50S, InForceMaxS float64
	// DetectionS is the time until every other instance knows of an instance's death.
	DetectionS float64
}

// ControlBytesPerS returns the traffic with all targets together.
func (s Sample) ControlBytesPerS() float64 {
	total := 0.0
	for _, bytes := range s.BytesPerS {
		total += bytes
	}
	return total
}

// Boot is the start time of an instance against the length of the control stream.
type Boot struct {
	Records  int
	Snapshot bool
	ReadyS   float64
}

// cpuTime returns the processor time of this process.
func cpuTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// heapBytes returns the live heap after a collection.
func heapBytes() uint64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return stats.HeapAlloc
}

// measureCluster measures an idle cluster, the spread of notes and the detection of a death.
func measureCluster(ctx context.Context, size clusterSize, opts Options) (Sample, error) {
	heapBefore := heapBytes()
	c, err := startCluster(ctx, size)
	if err != nil {
		return Sample{}, err
	}
	defer c.close()
	if err := c.await(ctx, func(i *entry.Instance) bool { return len(i.LiveInstances()) == size.instances }); err != nil {
		return Sample{}, err
	}
	if err := sleep(ctx, opts.Settle); err != nil {
		return Sample{}, err
	}
	sample := c.measureIdle(ctx, size, opts.Measure)
	sample.HeapMB = float64(heapBytes()-heapBefore) / float64(size.instances) / (1 << 20)
	if err := c.measureNotes(ctx, &sample, opts.Seed); err != nil {
		return sample, err
	}
	if size.instances > 2 {
		return sample, c.measureDetection(ctx, &sample)
	}
	return sample, nil
}

func (c *cluster) measureIdle(ctx context.Context, size clusterSize, length time.Duration) Sample {
	cpu, start := cpuTime(), time.Now()
	bytes := c.traffic.perNode(size.instances)
	causes := c.peerBytes()
	reads, appends := c.log.Reads(), c.log.Appends()
	// A cancelled measurement is short, not wrong: all figures are rates.
	_ = sleep(ctx, length)
	elapsed := time.Since(start).Seconds()
	sample := Sample{
		Instances: size.instances, Backends: size.backends,
		CoreFraction:   (cpuTime() - cpu).Seconds() / elapsed / float64(size.instances),
		BytesPerS:      map[Target]float64{},
		PeerBytesPerS:  map[link.Cause]float64{},
		LogReadsPerS:   float64(c.log.Reads()-reads) / elapsed,
		LogAppendsPerS: float64(c.log.Appends()-appends) / elapsed,
	}
	for target, now := range c.traffic.perNode(size.instances) {
		sample.BytesPerS[target] = (now - bytes[target]) / elapsed
	}
	for cause, now := range c.peerBytes() {
		sample.PeerBytesPerS[cause] = (now - causes[cause]) / elapsed / float64(size.instances)
	}
	return sample
}

// peerBytes returns what all nodes have sent to and received from peers, by cause.
func (c *cluster) peerBytes() map[link.Cause]float64 {
	out := map[link.Cause]float64{}
	for _, instance := range c.instances {
		for _, b := range instance.LinkBytes() {
			out[b.Cause] += float64(b.Sent + b.Received)
		}
	}
	return out
}

// measureNotes publishes notes one after the other.
func (c *cluster) measureNotes(ctx context.Context, sample *Sample, seed uint64) error {
	random := rand.New(rand.NewPCG(seed, uint64(sample.Instances)))
	times := make([]float64, 0, notesMeasured)
	base := c.instances[0].CatalogRevision()
	for n := range notesMeasured {
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
		// The random pause keeps the notes from falling into step with the instances' timers.
		if err := sleep(ctx, noteSpacing+time.Duration(random.Int64N(int64(noteSpacing)))); err != nil {
			return err
		}
	}
	sample.InForceP50S, sample.InForceMaxS = median(times), maximum(times)
	return nil
}

// measureDetection ends an instance and waits until no other one counts it as live.
func (c *cluster) measureDetection(ctx context.Context, sample *Sample) error {
	start := time.Now()
	id := c.kill()
	err := c.await(ctx, func(i *entry.Instance) bool {
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
