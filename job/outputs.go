package job

import (
	"context"
	"errors"
	"slices"
	"strings"

	"github.com/fxamacker/cbor/v2"

	"github.com/cicadasill/cicadasill/changelog"
)

// Outputs in copies of data partitions.
//
// Listed results can be read at any instance for minutes, and their outputs are what the engines have made of the clients' jobs. The copies
// of an instance hold outputs, and those of checkpoints, up to a bound. Beyond it the oldest listed outputs of the partition give way, since
// clients read results as they are listed; a result whose output is left out is read from the store. A checkpoint without its output is of
// no use, so that its item starts over.

// listedRecord is a record with results that a copy has applied.
type listedRecord struct {
	key      string
	position int   // of its first result
	taken    int64 // bytes of outputs that the copy holds
	leftOut  bool  // the copy holds the results without their outputs
}

// heldRecord names a record whose outputs a copy holds.
type heldRecord struct {
	job ID
	key string
}

// takeOutputs takes n bytes for outputs, in place of the oldest listed ones if need be. It returns false if they do not fit.
func (s *partitionState) takeOutputs(n int64) bool {
	for !s.outputBudget.take(n) {
		if !s.leaveOutOldest() {
			return false
		}
	}
	return true
}

// leaveOutOldest leaves out the outputs of the record that was applied first. It returns false if the copy holds none.
func (s *partitionState) leaveOutOldest() bool {
	for len(s.held) > 0 {
		oldest := s.held[0]
		s.held = s.held[1:]
		j := s.jobs[oldest.job]
		if j == nil {
			continue
		}
		at := slices.IndexFunc(j.records, func(r listedRecord) bool { return r.key == oldest.key })
		if at < 0 || j.records[at].taken == 0 {
			continue
		}
		for n := j.records[at].position; n < j.recordEnd(at); n++ {
			j.results[n].Output = nil
		}
		s.outputBudget.giveBack(j.records[at].taken)
		j.records[at].taken, j.records[at].leftOut = 0, true
		return true
	}
	return false
}

// holdOutputs accounts for the outputs of the last record of a job, or leaves them out.
func (s *partitionState) holdOutputs(id ID, j *jobData) {
	last := len(j.records) - 1
	r, size := &j.records[last], int64(0)
	if r.leftOut {
		return
	}
	for _, result := range j.results[r.position:] {
		size += int64(len(result.Output))
	}
	if size == 0 {
		return
	}
	if !s.takeOutputs(size) {
		r.leftOut = true
		for n := r.position; n < len(j.results); n++ {
			j.results[n].Output = nil
		}
		return
	}
	r.taken = size
	s.held = append(s.held, heldRecord{id, r.key})
}

// recordEnd returns the position after the results of a record.
func (j *jobData) recordEnd(at int) int {
	if at+1 < len(j.records) {
		return j.records[at+1].position
	}
	return len(j.results)
}

// recordOf returns the index of the record that holds the result at a listed position.
func (j *jobData) recordOf(position int) int {
	at, found := slices.BinarySearchFunc(j.records, position, func(r listedRecord, p int) int { return r.position - p })
	if !found {
		at--
	}
	return at
}

// reduceOutputs returns a record of results, or a checkpoint, as a load keeps it.
func (s *partitionState) reduceOutputs(r changelog.Record) changelog.Record {
	size := int64(len(r.Value))
	if s.outputBudget.take(size) {
		s.loadTakenOutputs += size
		return r
	}
	reduced, err := r.Value, error(nil)
	if strings.HasPrefix(r.Key, resultsPrefix) {
		var record resultsRecord
		if err = cbor.Unmarshal(r.Value, &record); err == nil {
			for n := range record.Results {
				record.Results[n].Output = nil
			}
			record.LeftOut = true
			reduced, err = cbor.Marshal(&record)
		}
	} else {
		var c Checkpoint
		if err = cbor.Unmarshal(r.Value, &c); err == nil {
			reduced, err = cbor.Marshal(c.withoutData())
		}
	}
	if err != nil {
		return r // Apply reports it
	}
	r.Value = reduced
	return r
}

// withoutData returns the checkpoint as a copy that leaves its output out holds it.
func (c *Checkpoint) withoutData() *Checkpoint {
	return &Checkpoint{LastEvent: c.LastEvent, Complete: c.Complete, LeftOut: true}
}

// setCheckpoint replaces the checkpoint of an item. It leaves the output out if that does not fit.
func (s *partitionState) setCheckpoint(j *jobData, item string, c Checkpoint) {
	s.removeCheckpoint(j, item)
	if !c.LeftOut && !s.takeOutputs(int64(c.size())) {
		c = *c.withoutData()
	}
	j.checkpoints[item] = c
}

// removeCheckpoint removes the checkpoint of an item, if there is one.
func (s *partitionState) removeCheckpoint(j *jobData, item string) {
	old := j.checkpoints[item]
	s.outputBudget.giveBack(int64(old.size()))
	delete(j.checkpoints, item)
}

// errResultsMoved reports listed results that the store does not hold where the copy expects them: they have just been deleted.
var errResultsMoved = errors.New("the store holds no record with the listed results")

// readListed reads the record with a listed result from the store, and returns its results from that position on. key is that of the record.
// It fails with *UnavailableError.
func (g *Registry) readListed(ctx context.Context, p *partition, id ID, key string, position int) ([]Result, error) {
	var found []Result
	prefix := resultsPrefix + string(id) + "/"
	err := g.scanRecords(ctx, p.id, prefix, key, func(r changelog.Record) (bool, error) {
		if r.Key != key {
			return true, nil
		}
		var record resultsRecord
		if err := cbor.Unmarshal(r.Value, &record); err != nil {
			return false, err
		}
		if skip := position - record.Position; skip >= 0 && skip < len(record.Results) {
			found = record.Results[skip:]
		}
		return false, nil
	})
	if err == nil && found == nil {
		err = &UnavailableError{Err: errResultsMoved}
	}
	return found, err
}
