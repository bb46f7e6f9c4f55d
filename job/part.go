package job

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cicadasill/cicadasill/changelog"
	"github.com/cicadasill/cicadasill/timing"
)

const (
	// checkpointInterval is the minimum time between two checkpoints of an item. The longest items run
	// for about five seconds and most for less than one, so few items have checkpoints.
	checkpointInterval = time.Second
	// checkpointFlushInterval is the time between two appends of checkpoints, so that one append stores
	// the checkpoints of many items.
	checkpointFlushInterval = 250 * time.Millisecond
)

// Checkpoint is the stored output of an item that has not completed. An instance that takes the job
// over resumes the item after it.
type Checkpoint struct {
	// LastEvent is the id of the last event in the checkpoint.
	LastEvent int64 `cbor:"1,keyasint"`
	// Data holds the data of each event up to LastEvent.
	Data     [][]byte `cbor:"2,keyasint"`
	Versions []int64  `cbor:"3,keyasint"`
	// Complete states that the text is whole and waits for its score.
	Complete bool `cbor:"4,keyasint,omitempty"`
	// Service and Software are those of the engines that generated the output. Earlier releases do not store them.
	Service  string `cbor:"5,keyasint,omitempty"`
	Software string `cbor:"6,keyasint,omitempty"`
	// LeftOut states that the output is left out, in memory only.
	LeftOut bool `cbor:"7,keyasint,omitempty"`
}

// size returns the size of the output in bytes.
func (c *Checkpoint) size() int {
	n := 0
	for _, data := range c.Data {
		n += len(data)
	}
	return n
}

// extends reports whether c holds more than a stored checkpoint of the same item.
func (c *Checkpoint) extends(stored Checkpoint) bool {
	return c.LastEvent > stored.LastEvent || (c.Complete && !stored.Complete && c.LastEvent == stored.LastEvent)
}

func checkpointKey(id ID, item string) string { return checkpointsPrefix + string(id) + "/" + item }

// itemRef identifies an item of a job.
type itemRef struct {
	job  ID
	item string
}

// queueCheckpoint queues an item's checkpoint for the next append, in place of an older one that is
// still queued. It drops a checkpoint that exceeds the store's limits: an instance that takes the job
// over then resumes the item from an earlier checkpoint or runs it from the start.
func (g *Registry) queueCheckpoint(s *Summary, item string, c Checkpoint) {
	if len(checkpointKey(s.ID, item)) > changelog.MaxKeyBytes || c.encodedSize() > g.opts.Limits.RecordBytes {
		return
	}
	p := g.partitions[s.Partition]
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pendingCheckpoints[itemRef{s.ID, item}] = c
}

// flushCheckpoints appends queued checkpoints to their partitions until ctx ends.
func (g *Registry) flushCheckpoints(ctx context.Context) {
	for timing.Sleep(ctx, checkpointFlushInterval) {
		for _, p := range g.partitions {
			batch := p.takeCheckpointBatch(g.appendLimits().CallBytes)
			if len(batch) == 0 {
				continue
			}
			if _, err := p.Commit(ctx, func() []changelog.Record { return g.newCheckpointRecords(p, batch) }); err != nil {
				g.log.Warn("checkpoints not stored", "texts", len(batch), "err", err) // the instance stops, or the store never takes them
			}
		}
	}
}

// takeCheckpointBatch removes the checkpoints of the next append, of up to limit bytes, from the queue.
func (p *partition) takeCheckpointBatch(limit int) map[itemRef]Checkpoint {
	p.mu.Lock()
	defer p.mu.Unlock()
	batch := map[itemRef]Checkpoint{}
	size := 0
	for ref, c := range p.pendingCheckpoints {
		if size += c.encodedSize(); size > limit && len(batch) > 0 {
			break
		}
		batch[ref] = c
		delete(p.pendingCheckpoints, ref)
	}
	return batch
}

// newCheckpointRecords returns records for those checkpoints that extend the stored ones and whose
// items have no listed result.
func (g *Registry) newCheckpointRecords(p *partition, batch map[itemRef]Checkpoint) []changelog.Record {
	var records []changelog.Record
	for ref, c := range batch {
		j := p.state.jobs[ref.job]
		if j == nil || len(j.chunks) == 0 {
			continue // the job has been closed
		}
		if _, listed := j.positions[ref.item]; listed || !c.extends(j.checkpoints[ref.item]) {
			continue
		}
		data, err := cbor.Marshal(c)
		if err != nil {
			g.log.Error("checkpoint not encoded", "job", ref.job, "item", ref.item, "err", err)
			continue
		}
		records = append(records, changelog.Record{Key: checkpointKey(ref.job, ref.item), Value: data})
	}
	return records
}
