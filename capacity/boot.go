package capacity

import (
	"context"
	"fmt"
	"time"

	"github.com/sourcegraph/conc/pool"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/control"
	"github.com/cicadasill/cicadasill/entry"
	"github.com/cicadasill/cicadasill/release"
	"github.com/cicadasill/cicadasill/standalone/httpplatform"
	"github.com/cicadasill/cicadasill/standin/list"
	"github.com/cicadasill/cicadasill/standin/logserver"
)

const (
	fillAppendRate       = 1e6 // appends per second, so high that the stand-in does not delay the filling
	fillAppenders        = 32
	fillServices         = 50 // services that the filling notes add in turn
	snapshotTimeout      = 60 * time.Second
	snapshotPollInterval = 20 * time.Millisecond
	snapshotBoots        = 5
)

// measureBoot measures how long an instance takes to become ready when the control stream has the given
// number of records: once from the first record, then from a snapshot, if one is written in time.
func measureBoot(ctx context.Context, records int) ([]Boot, error) {
	c := &cluster{traffic: newTraffic()}
	defer c.close()
	var err error
	if c.log, err = logserver.Start(logserver.Options{AppendsPerS: fillAppendRate}); err != nil {
		return nil, err
	}
	if c.list, err = list.Start(list.Options{}); err != nil {
		return nil, err
	}
	if err := c.fillControlStream(ctx, records); err != nil {
		return nil, err
	}
	without, err := c.timeBoot(ctx, "entry-001")
	if err != nil {
		return nil, err
	}
	boots := []Boot{{Records: records, ReadyS: without}}
	if !c.awaitSnapshot(ctx) {
		return boots, nil
	}
	times := make([]float64, 0, snapshotBoots)
	for n := range snapshotBoots {
		ready, err := c.timeBoot(ctx, fmt.Sprintf("entry-%03d", n+2))
		if err != nil {
			return boots, err
		}
		times = append(times, ready)
	}
	return append(boots, Boot{Records: records, Snapshot: true, ReadyS: median(times)}), nil
}

// fillControlStream appends notes to the control stream. Most of them are refused, since their bases are too
// low, but processing a refused note costs an instance the same work.
func (c *cluster) fillControlStream(ctx context.Context, records int) error {
	client := httpplatform.NewLog(c.log.Addr(), httpplatform.Options{})
	defer client.Close()
	tasks := pool.New().WithContext(ctx).WithMaxGoroutines(fillAppenders).WithFirstError()
	for n := range records {
		tasks.Go(func(ctx context.Context) error {
			note := &release.Note{
				ID: fmt.Sprintf("fill-%d", n), Author: "capacity", Base: int64(n),
				Added: []contract.Service{plainContract(fmt.Sprintf("service-%d", n%fillServices), nil)},
			}
			data, err := control.Record{Kind: control.KindNote, Note: note}.Encode()
			if err != nil {
				return err
			}
			_, err = client.Append(ctx, control.Stream, data)
			return err
		})
	}
	return tasks.Wait()
}

// timeBoot starts an instance and returns the seconds that it takes to become ready.
func (c *cluster) timeBoot(ctx context.Context, id string) (float64, error) {
	instance, err := c.newInstance(id, zones(1)[0])
	if err != nil {
		return 0, err
	}
	c.instances = append(c.instances, instance)
	start := time.Now()
	c.run(ctx, instance)
	if err := awaitReady(ctx, instance); err != nil {
		return 0, err
	}
	return time.Since(start).Seconds(), nil
}

// awaitReady waits until instance is ready. It fails with NotReady after readyTimeout.
func awaitReady(ctx context.Context, instance *entry.Instance) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	select {
	case <-instance.Ready():
		return nil
	case <-ctx.Done():
		return &Error{Code: NotReady, Err: ctx.Err()}
	}
}

// awaitSnapshot reports whether an instance wrote a snapshot within snapshotTimeout.
func (c *cluster) awaitSnapshot(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, snapshotTimeout)
	defer cancel()
	for c.log.Streams()[control.SnapshotsStream] == 0 {
		if sleep(ctx, snapshotPollInterval) != nil {
			return false
		}
	}
	return true
}
