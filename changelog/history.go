package changelog

import (
	"context"
	"errors"
)

// HistoryOptions state which records Replay reads.
type HistoryOptions struct {
	// PerKey is the number of records for each key that the partition holds.
	PerKey int
	// Min and Max bound the number of records.
	Min, Max int
}

// History is what Replay has read.
type History struct {
	// Records are the last ones of the partition, in their order.
	Records []Record
	// Complete states that they are PerKey records for each key, or all that were ever appended.
	Complete bool
}

// Replay reads the last records of a partition. The newest record of a key tells nothing of those before it: the log may have executed an
// append late, after records that supersede it.
func Replay(ctx context.Context, log Log, p Partition, opts HistoryOptions) (History, error) {
	page, err := log.Newest(ctx, p, "")
	if err != nil {
		return History{}, err
	}
	needed := int64(opts.PerKey * len(page.Records))
	from := max(0, page.End-min(max(needed, int64(opts.Min)), int64(opts.Max)))
	var h History
	for next := from; next < page.End; {
		batch, err := log.Read(ctx, p, next, 0)
		var trimmed *TrimmedError
		if errors.As(err, &trimmed) && trimmed.First > next {
			h.Records, from, next = nil, trimmed.First, trimmed.First
			continue
		}
		if err != nil {
			return History{}, err
		}
		if len(batch.Records) == 0 {
			return History{}, errNoProgress
		}
		h.Records = append(h.Records, batch.Records...)
		next = batch.Records[len(batch.Records)-1].Offset + 1
	}
	h.Complete = !page.More && (from == 0 || page.End-from >= needed)
	return h, nil
}
