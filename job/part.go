package job

import (
	"context"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cicadasill/cicadasill/changelog"
	"github.com/cicadasill/cicadasill/timing"
)

const (
	// partPeriod is the least time between two records of an item's text. The longest texts take
	// about five seconds and most less than one, so few texts have parts.
	partPeriod = time.Second
	// partPause collects the parts of many texts into one append.
	partPause = 250 * time.Millisecond
	// partBytes bounds the parts in one append, below the store's limit for a call.
	partBytes = 1 << 20
	// keyBytes is the longest key that the store takes.
	keyBytes = 255
)

// Part is what an item has generated so far. The job's next driver goes on after it.
type Part struct {
	// Last is the id of the last event.
	Last int64 `cbor:"1,keyasint"`
	// Data holds the data of the events up to Last.
	Data     [][]byte `cbor:"2,keyasint"`
	Versions []int64  `cbor:"3,keyasint"`
}

func (p *Part) size() int {
	n := 0
	for _, data := range p.Data {
		n += len(data)
	}
	return n
}

func partKey(id ID, item string) string { return partsPrefix + string(id) + "/" + item }

// itemRef names an item of a job.
type itemRef struct {
	job  ID
	item string
}

// keep stores the part of an item's text soon, for a driver that takes the job over.
func (g *Registry) keep(s *Summary, item string, part Part) {
	if len(partKey(s.ID, item)) > keyBytes || part.size() > recordBytes {
		return
	}
	p := g.partitions[s.Partition]
	p.mu.Lock()
	defer p.mu.Unlock()
	p.parts[itemRef{s.ID, item}] = part
}

// keepParts appends the parts of texts until ctx ends.
func (g *Registry) keepParts(ctx context.Context) {
	for timing.Sleep(ctx, partPause) {
		for _, p := range g.partitions {
			batch := p.takeParts()
			if len(batch) == 0 {
				continue
			}
			if _, err := p.Commit(ctx, func() []changelog.Record { return g.newParts(p, batch) }); err != nil {
				g.log.Warn("parts of texts not stored", "texts", len(batch), "err", err) // the instance stops
			}
		}
	}
}

// takeParts removes the parts of the next append.
func (p *partition) takeParts() map[itemRef]Part {
	p.mu.Lock()
	defer p.mu.Unlock()
	batch := map[itemRef]Part{}
	size := 0
	for ref, part := range p.parts {
		if size >= partBytes {
			break
		}
		size += part.size()
		batch[ref] = part
		delete(p.parts, ref)
	}
	return batch
}

// newParts returns the records of those parts that are longer than the stored ones, of items
// without a result.
func (g *Registry) newParts(p *partition, batch map[itemRef]Part) []changelog.Record {
	var records []changelog.Record
	for ref, part := range batch {
		l := p.state.jobs[ref.job]
		if l == nil || len(l.chunks) == 0 {
			continue // the job has been closed
		}
		if _, listed := l.position[ref.item]; listed || l.parts[ref.item].Last >= part.Last {
			continue
		}
		data, err := cbor.Marshal(part)
		if err != nil {
			g.log.Error("part of a text not encoded", "job", ref.job, "item", ref.item, "err", err)
			continue
		}
		records = append(records, changelog.Record{Key: partKey(ref.job, ref.item), Value: data})
	}
	return records
}
