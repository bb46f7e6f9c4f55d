package presence

import (
	"context"
	"errors"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cicadasill/cicadasill/changelog"
	"github.com/cicadasill/cicadasill/timing"
	"github.com/cicadasill/cicadasill/truetime"
)

// heartbeatInterval returns the time between the records of an instance that drives no jobs.
func heartbeatInterval(instances int) time.Duration {
	return max(minHeartbeatInterval, time.Duration(instances)*heartbeatIntervalPerInstance)
}

// heartbeatInterval returns the time between this instance's records.
func (t *Table) heartbeatInterval() time.Duration {
	interval := heartbeatInterval(t.Count())
	if drivers := t.drivers(); drivers > 0 {
		return min(interval, max(minHeartbeatInterval, time.Duration(drivers)*driverIntervalPerDriver))
	}
	return interval
}

// awaitNextHeartbeat waits for interval, or until a shorter interval has passed that applies since this instance drives jobs.
// It returns false if ctx ends.
func (t *Table) awaitNextHeartbeat(ctx context.Context, interval time.Duration) bool {
	start := time.Now()
	for {
		left := min(interval, t.heartbeatInterval()) - time.Since(start)
		if left <= 0 {
			return ctx.Err() == nil
		}
		if !timing.Sleep(ctx, min(left, minHeartbeatInterval)) {
			return false
		}
	}
}

// writeHeartbeat appends this instance's record and returns the pause before the next one.
func (t *Table) writeHeartbeat(ctx context.Context) time.Duration {
	interval := t.heartbeatInterval()
	need := t.ownNeed()
	t.mu.Lock()
	t.sequence++
	r := record{
		Incarnation: t.self.Incarnation, DataCentre: t.dataCentre, Left: t.hasLeft, Draining: t.draining,
		Sequence: t.sequence, Interval: interval + t.appendDuration,
		Region: t.instance.Zone.Region, PeerAddr: t.instance.PeerAddr, Processors: t.processors, Need: need,
	}
	t.mu.Unlock()
	if t.clock != nil {
		now := truetime.Read()
		r.WallMs, r.BootMs = now.Wall.Milliseconds(), now.Boot.Milliseconds()
	}
	data, err := cbor.Marshal(r)
	if err != nil {
		t.log.Error("cannot encode heartbeat", "err", err)
		return interval
	}
	start := time.Now()
	if err := t.append(ctx, data); err != nil {
		t.log.Debug("cannot write heartbeat", "err", err)
		return interval
	}
	t.mu.Lock()
	t.heartbeatAt, t.appendDuration = start, time.Since(start)
	t.mu.Unlock()
	return interval
}

// append appends a record of this instance, and again if the outcome is unknown: the same record twice counts once.
func (t *Table) append(ctx context.Context, data []byte) error {
	ctx, cancel := context.WithTimeout(ctx, appendTimeout)
	defer cancel()
	attempt := func(ctx context.Context) error {
		records := []changelog.Record{{Key: t.self.ID, Value: data}}
		_, err := t.store.Append(ctx, changelog.Partition{Topic: topic}, records, changelog.Unconditional)
		return err
	}
	t.mu.Lock()
	firstTimeout := max(firstAppendTimeout, slowAppendFactor*t.appendDuration)
	t.mu.Unlock()
	firstCtx, cancelFirst := context.WithTimeout(ctx, firstTimeout)
	defer cancelFirst()
	err := attempt(firstCtx)
	var unknown *changelog.UnknownError
	if errors.As(err, &unknown) && ctx.Err() == nil {
		err = attempt(ctx)
	}
	return err
}

// SetClock makes the heartbeats carry readings of this machine's clocks, and passes the readings of all instances on to clock.
// It must be called before Run.
func (t *Table) SetClock(clock *truetime.Clock) { t.clock = clock }

// observeClock passes a reading in a record on to the clock. The caller holds mu.
func (t *Table) observeClock(id string, r record) {
	if t.clock == nil || r.BootMs == 0 {
		return
	}
	reading := truetime.Reading{Wall: time.Duration(r.WallMs) * time.Millisecond, Boot: time.Duration(r.BootMs) * time.Millisecond}
	t.clock.Observe(id, r.Incarnation, reading, timing.SinceBoot())
}
