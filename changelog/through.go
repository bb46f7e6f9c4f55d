package changelog

import (
	"context"

	"github.com/cicadasill/cicadasill/timing"
)

// ReadThrough reads to the end of the partition through another log, beside the reads of Follow and Sync, which may be stuck. It
// fails if the partition has to be loaded first.
func (r *Replica) ReadThrough(ctx context.Context, log Log) error {
	for {
		start := timing.NowInstant()
		r.mu.Lock()
		from, mustLoad := r.next, !r.loaded || r.loading != nil
		r.mu.Unlock()
		if mustLoad {
			return errLoading
		}
		batch, err := log.Read(ctx, r.partition, from, 0)
		if err != nil {
			return err
		}
		if batch.End < from {
			return &RewoundError{Partition: r.partition, End: batch.End, Read: from}
		}
		switch next, complete := r.apply(batch.Records, batch.End, start); {
		case !complete:
			return errIncomplete
		case next >= batch.End:
			return nil
		case next <= from:
			return errNoProgress
		}
	}
}
