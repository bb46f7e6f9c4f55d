package presence

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cicadasill/cicadasill/changelog"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/telemetry"
	"github.com/cicadasill/cicadasill/zone"
)

// silentReadTime is how long a read on a connection that has gone silent takes, its repeat on a new one included.
const silentReadTime = 360 * time.Millisecond

// sharedLog is a log in memory with one partition.
type sharedLog struct {
	mu      sync.Mutex // guards records
	records []changelog.Record
}

// silenceClient is an instance's client of a sharedLog. The first append and the first read after silentAt meet a connection that has
// gone silent.
type silenceClient struct {
	log                            *sharedLog
	appendsSilentAt, readsSilentAt time.Time
	mu                             sync.Mutex // guards appended and read
	appended, read                 bool
}

// meetsSilence reports whether a call is the first one after silentAt, and notes it in met.
func (c *silenceClient) meetsSilence(silentAt time.Time, met *bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if silentAt.IsZero() || *met || time.Now().Before(silentAt) {
		return false
	}
	*met = true
	return true
}

// Append implements changelog.Log.
func (c *silenceClient) Append(ctx context.Context, _ changelog.Partition, records []changelog.Record, _ int64) (int64, error) {
	if c.meetsSilence(c.appendsSilentAt, &c.appended) {
		<-ctx.Done()
		return 0, &changelog.UnknownError{Call: "append", Err: ctx.Err()}
	}
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	for _, r := range records {
		r.Offset = int64(len(c.log.records))
		c.log.records = append(c.log.records, r)
	}
	return int64(len(c.log.records)), nil
}

// Read implements changelog.Log.
func (c *silenceClient) Read(_ context.Context, _ changelog.Partition, from int64, _ time.Duration) (changelog.Batch, error) {
	if c.meetsSilence(c.readsSilentAt, &c.read) {
		time.Sleep(silentReadTime)
	}
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	return changelog.Batch{Records: c.log.records[from:], End: int64(len(c.log.records))}, nil
}

// Newest implements changelog.Log.
func (c *silenceClient) Newest(context.Context, changelog.Partition, string) (changelog.Page, error) {
	c.log.mu.Lock()
	defer c.log.mu.Unlock()
	newest := map[string]changelog.Record{}
	for _, r := range c.log.records {
		newest[r.Key] = r
	}
	page := changelog.Page{End: int64(len(c.log.records))}
	for _, r := range newest {
		page.Records = append(page.Records, r)
	}
	return page, nil
}

// Guards against an instance that counts as dead because one of its heartbeats, and the read of the repeated one at the observer,
// each met a silent connection. The moments of both are varied against the heartbeats and the reads.
func TestSilentHeartbeatAndSilentReadAreNoDeath(t *testing.T) {
	const (
		step  = 50 * time.Millisecond
		start = 3 * time.Second
		watch = 3 * time.Second
	)
	for appendDelay := time.Duration(0); appendDelay < minHeartbeatInterval; appendDelay += step {
		for readDelay := time.Duration(0); readDelay < 1500*time.Millisecond; readDelay += step {
			synctest.Test(t, func(t *testing.T) {
				log, silentAt := &sharedLog{}, time.Now().Add(start+appendDelay)
				tables := map[string]*Table{}
				ctx, cancel := context.WithCancel(t.Context())
				var runs sync.WaitGroup
				for id, client := range map[string]*silenceClient{
					"observer": {log: log, readsSilentAt: silentAt.Add(readDelay)},
					"silent":   {log: log, appendsSilentAt: silentAt},
				} {
					self := machine.Instance{ID: id, Incarnation: 1, PeerAddr: id + ":1", Zone: zone.Zone{Region: "r", DataCentre: "x"}}
					table := New(self, client, func() int { return 0 }, telemetry.Discard())
					tables[id] = table
					runs.Go(func() { table.Run(ctx) })
				}
				for end := silentAt.Add(watch); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
					if time.Now().After(silentAt) && tables["observer"].Dead(machine.Ref{ID: "silent", Incarnation: 1}) {
						t.Errorf("the instance counts as dead %v after its connection went silent (read delay %v)", time.Since(silentAt), readDelay)
						break
					}
				}
				cancel()
				runs.Wait()
			})
		}
	}
}
