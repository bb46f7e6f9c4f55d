package changelog

import (
	"cmp"
	"context"
	"errors"
	"maps"
	"slices"
	"time"

	"github.com/cicadasill/cicadasill/timing"
)

const (
	// loadFollowInterval is the time between two reads of the records that are appended during a load. It is well below the time
	// for which the store retains them.
	loadFollowInterval = 5 * time.Second
	// maxReloads bounds how often one run of reads starts a load over or anew, because the records that it needs have expired or
	// the state lacks some.
	maxReloads = 3
)

// load is the progress of rebuilding the state of a partition from the newest record of each key. It outlasts failed
// attempts. The pages are no consistent snapshot, so the load also follows the records after the end that the first page
// reports, until it holds the state at one offset.
type load struct {
	reduce     func(Record) Record
	newest     map[string]Record // by key, deletions included
	begun      bool              // the first page has been read
	scanned    bool              // all pages have been read
	afterKey   string            // last key of the pages that have been read
	next       int64             // offset of the next record to follow
	end        int64             // the state is consistent when the records before this offset have been followed
	followedAt timing.Instant    // start of the last call that advanced next, or of the first page
}

// newLoad returns a load that has read nothing. The records in it are as small as the state allows.
func (r *Replica) newLoad() *load {
	l := &load{newest: map[string]Record{}, reduce: func(record Record) Record { return record }}
	if reducer, ok := r.state.(Reducer); ok {
		l.reduce = reducer.Reduce
	}
	return l
}

// add adds a record unless a newer one of its key is known.
func (l *load) add(record Record) {
	if known, ok := l.newest[record.Key]; !ok || known.Offset <= record.Offset {
		l.newest[record.Key] = l.reduce(record)
	}
}

// addPage adds the page after afterKey.
func (l *load) addPage(page Page, start timing.Instant) error {
	if page.More && (len(page.Records) == 0 || page.Records[len(page.Records)-1].Key == l.afterKey) {
		return errNoProgress
	}
	if !l.begun {
		l.begun, l.next, l.followedAt = true, page.End, start
	}
	for _, record := range page.Records {
		l.add(record)
	}
	l.end = max(l.end, page.End)
	l.scanned = !page.More
	if page.More {
		l.afterKey = page.Records[len(page.Records)-1].Key
	}
	return nil
}

// addBatch adds records that follow the first page's end, from a call that began when end was known.
func (l *load) addBatch(batch Batch, start timing.Instant, end int64) error {
	before := l.next
	for _, record := range batch.Records {
		if record.Offset >= l.next {
			l.add(record)
			l.next = record.Offset + 1
		}
	}
	l.end = max(l.end, batch.End)
	if l.next == before && l.next < max(batch.End, end) {
		return errNoProgress
	}
	if l.next >= batch.End {
		l.followedAt = start
	}
	return nil
}

// records returns the newest records of all keys in the order of their offsets. The deletions among them are for a State that
// keeps values over a Reset.
func (l *load) records() []Record {
	return slices.SortedFunc(maps.Values(l.newest), func(a, b Record) int { return cmp.Compare(a.Offset, b.Offset) })
}

// loadStep is the next call of a load.
type loadStep struct {
	load     *load
	done     bool // there is no load, or it has just been completed
	follow   bool // the call reads the records from the offset from on, and the page after afterKey otherwise
	from     int64
	end      int64 // of the load when the step began
	afterKey string
}

// nextLoadStep returns the next step of the load that is under way, and rebuilds the state if there is none left.
func (r *Replica) nextLoadStep(reader *syncReader) loadStep {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.beginCall(reader)
	l := r.loading
	if l == nil {
		return loadStep{done: true}
	}
	l.end = max(l.end, r.next) // the state must not go back
	switch {
	case l.scanned && l.next >= l.end:
		r.install(l)
		return loadStep{done: true}
	case l.scanned, l.begun && l.followedAt.Age() > loadFollowInterval:
		return loadStep{load: l, follow: true, from: l.next, end: l.end}
	}
	return loadStep{load: l, afterKey: l.afterKey}
}

// install rebuilds the state from a complete load. The caller holds mu.
func (r *Replica) install(l *load) {
	r.observeAge()
	r.state.Reset()
	for _, record := range l.records() {
		r.applyToState(record)
	}
	if observer, ok := r.state.(LoadObserver); ok {
		observer.Loaded()
	}
	r.next, r.loaded, r.loading, r.rewound = l.next, true, nil, false
	if l.followedAt.Time.After(r.readAt.Time) {
		r.readAt = l.followedAt
	}
	r.notify()
}

// Reload makes the next read load the partition again. A caller that finds that the copy lacks records calls it.
func (r *Replica) Reload() { r.startLoad() }

// startLoad starts a load, unless one is under way.
func (r *Replica) startLoad() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.loading == nil {
		r.loading = r.newLoad()
	}
}

// continueLoad continues the load that is under way until the state has been rebuilt or a call fails. Several calls of
// continueLoad may advance the same load.
func (r *Replica) continueLoad(ctx context.Context, reloads *int, reader *syncReader) error {
	for {
		step := r.nextLoadStep(reader)
		if step.done {
			return nil
		}
		err := r.runLoadStep(ctx, step)
		var trimmed *TrimmedError
		if !errors.As(err, &trimmed) {
			if err != nil {
				return err
			}
			continue
		}
		if *reloads++; *reloads > maxReloads {
			return err
		}
		r.restartLoad(step.load)
	}
}

// runLoadStep makes the call of a step and adds its result, unless another call has advanced the load meanwhile.
func (r *Replica) runLoadStep(ctx context.Context, step loadStep) error {
	start := timing.NowInstant()
	if step.follow {
		batch, err := r.log.Read(ctx, r.partition, step.from, 0)
		if err != nil {
			return err
		}
		r.mu.Lock()
		defer r.mu.Unlock()
		if step.load.next != step.from {
			return nil
		}
		return step.load.addBatch(batch, start, step.end)
	}
	page, err := r.log.Newest(ctx, r.partition, step.afterKey)
	if err != nil {
		return err
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if step.load.scanned || step.load.afterKey != step.afterKey {
		return nil
	}
	return step.load.addPage(page, start)
}

// restartLoad replaces a load whose records to follow have expired.
func (r *Replica) restartLoad(old *load) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.loading == old {
		r.loading = r.newLoad()
	}
}
