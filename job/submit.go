package job

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cicadasill/cicadasill/changelog"
)

// Submit accepts a job and assigns it a driver. It returns nil once the store holds the job, also if the
// job was accepted before. After *UnavailableError and *FullError this call has not accepted the job and will not; after
// *UncertainError it may have.
func (g *Registry) Submit(ctx context.Context, spec *Spec) error {
	if _, ok := g.Summary(spec.ID); ok {
		return nil
	}
	size := int64(0)
	for i := range spec.Items {
		size += int64(itemSize(&spec.Items[i]))
	}
	partitionNumber := g.partitionOf(spec.ID)
	summary := Summary{
		ID: spec.ID, Partition: partitionNumber, Host: spec.Host, Path: spec.Path, Total: len(spec.Items),
		Step: spec.Step, Model: spec.Model,
		MinVersion: spec.MinVersion, GroupCount: spec.GroupCount, ConfigVersion: spec.ConfigVersion, ItemBytes: size, Account: spec.Account,
	}
	if err := g.checkSummary(&summary); err != nil {
		return err
	}
	var full error
	checkRoom := func() { _, full = g.chooseDriver(spec, size) }
	if g.indexReplica.View(checkRoom); full != nil {
		// Another instance may have accepted the job, or room may have been made.
		if err := g.indexReplica.Sync(ctx); err != nil {
			return &UnavailableError{Err: err}
		}
		if _, ok := g.Summary(spec.ID); ok {
			return nil
		}
		if g.indexReplica.View(checkRoom); full != nil {
			return full
		}
	}
	records, err := itemRecords(spec.ID, spec.Items, g.opts.Limits)
	if err != nil {
		return fmt.Errorf("items of batch job %s: %w", spec.ID, err)
	}
	err = g.putItems(ctx, g.partitions[partitionNumber], spec.ID, records)
	var rejected *changelog.RejectedError
	switch {
	case errors.As(err, &rejected):
		return &TooLargeError{Err: rejected}
	case err != nil:
		return &UnavailableError{Err: err}
	}
	summary.SubmittedMs = time.Now().UnixMilli()
	_, err = g.update(ctx, spec.ID, func(old *Summary) *Summary {
		full = nil
		if old != nil {
			return nil
		}
		next := summary
		if next.Driver, full = g.chooseDriver(spec, size); full != nil {
			return nil
		}
		return &next
	})
	if err == nil {
		err = full
	}
	return err
}

// summaryMargin is what a summary may grow by after the acceptance: its driver, and the flags of its end.
const summaryMargin = 1 << 10

// checkSummary returns *TooLargeError if a job's records cannot be stored because of its id, or of what its summary holds.
func (g *Registry) checkSummary(s *Summary) error {
	if len(s.ID) > maxJobIDBytes {
		return &TooLargeError{Err: &changelog.SizeError{What: "job id", Bytes: len(s.ID), Limit: maxJobIDBytes}}
	}
	record, err := s.record()
	if err != nil {
		return fmt.Errorf("summary of batch job %s: %w", s.ID, err)
	}
	if limit := g.opts.Limits.RecordBytes - summaryMargin; record.Size() > limit {
		return &TooLargeError{Err: &changelog.SizeError{What: "summary", Bytes: record.Size(), Limit: limit}}
	}
	return nil
}

// appendLimits returns the limits of this package's appends. They are half of the store's for a call: the records of others wait until an
// append is complete.
func (g *Registry) appendLimits() changelog.Limits {
	return changelog.Limits{RecordBytes: g.opts.Limits.RecordBytes, CallBytes: g.opts.Limits.CallBytes / 2}
}

// putItems stores the items of a job, in as many calls as they need. Stored items without an index record
// start nothing, so an append with an unknown outcome doesn't accept the job. The records' keys depend
// only on the job, so appending them twice does no harm.
func (g *Registry) putItems(ctx context.Context, p *partition, id ID, records []changelog.Record) error {
	for len(records) > 0 {
		n := g.appendLimits().Fitting(records)
		if err := g.putItemBatch(ctx, p, id, records[:n]); err != nil {
			return err
		}
		records = records[n:]
	}
	return nil
}

// putItemBatch stores items that fit into one call. It reads the partition only if the outcome of the
// append is unknown.
func (g *Registry) putItemBatch(ctx context.Context, p *partition, id ID, records []changelog.Record) error {
	err := changelog.AppendWithRetry(ctx, g.opts.Log, p.id, records)
	var unknown *changelog.UnknownError
	if !errors.As(err, &unknown) {
		return err
	}
	_, err = p.Commit(ctx, func() []changelog.Record {
		j := p.state.jobs[id]
		if j == nil {
			return records
		}
		var missing []changelog.Record
		for _, r := range records {
			if _, stored := j.chunks[r.Key]; !stored {
				missing = append(missing, r)
			}
		}
		return missing
	})
	return err
}
