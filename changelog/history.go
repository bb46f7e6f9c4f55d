package changelog

import (
	"context"
	"errors"
	"slices"
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
	// Complete states that they are PerKey records for each key that is known, or all that were ever appended.
	Complete bool
}

// Replay reads the last records of a partition. The newest record of a key tells nothing of those before it: the log may have executed an
// append late, after records that supersede it.
func Replay(ctx context.Context, log Log, p Partition, opts HistoryOptions) (History, error) {
	page, err := log.Newest(ctx, p, "")
	if err != nil {
		return History{}, err
	}
	var h History
	end, from := page.End, page.End // of what has been read
	for needed := opts.PerKey * len(page.Records); ; {
		count := int64(min(max(needed, opts.Min), opts.Max))
		before, first, err := readRange(ctx, log, p, max(0, end-count), from)
		if err != nil {
			return History{}, err
		}
		trimmed := first > max(0, end-count)
		h.Records, from = slices.Concat(before, h.Records), first
		needed = max(needed, opts.PerKey*countKeys(h.Records)) // the page may hold only some of the keys, and those that were deleted have none
		h.Complete = from == 0 || end-from >= int64(needed)
		if h.Complete || trimmed || count == int64(opts.Max) {
			return h, nil
		}
	}
}

// readRange reads the records from an offset up to another one. It returns the offset of the first one that the log retains.
func readRange(ctx context.Context, log Log, p Partition, from, to int64) (records []Record, first int64, err error) {
	for next := from; next < to; {
		batch, err := log.Read(ctx, p, next, 0)
		var trimmed *TrimmedError
		if errors.As(err, &trimmed) && trimmed.First > next {
			records, from, next = nil, min(trimmed.First, to), trimmed.First
			continue
		}
		if err != nil {
			return nil, 0, err
		}
		if len(batch.Records) == 0 {
			return nil, 0, errNoProgress
		}
		for _, r := range batch.Records {
			if r.Offset < to {
				records = append(records, r)
			}
		}
		next = batch.Records[len(batch.Records)-1].Offset + 1
	}
	return records, from, nil
}

// countKeys returns the number of different keys.
func countKeys(records []Record) int {
	keys := map[string]bool{}
	for _, r := range records {
		keys[r.Key] = true
	}
	return len(keys)
}
