package changelog

import (
	"context"
	"slices"
	"time"

	"github.com/charmbracelet/log"
	"github.com/fxamacker/cbor/v2"

	"github.com/cicadasill/cicadasill/timing"
)

// Limits of a Map.
const (
	// After a change, reads wait only shortReadWait for as long as changesFollowTime: changes often follow one
	// another, and a read that begins while a change is written may miss it until the read ends.
	shortReadWait     = 500 * time.Millisecond
	changesFollowTime = 5 * time.Second
	// mapWriteTimeout bounds an attempt to write an update.
	mapWriteTimeout = 3 * time.Second
	// maxMapUpdates bounds the updates that wait to be written.
	maxMapUpdates = 256
)

// MapOptions configure a Map.
type MapOptions[V any] struct {
	Log Log
	// Topic is the topic whose first partition holds the map.
	Topic  string
	Logger *log.Logger
	// OnChange is called with each value that is read, and with nil for a key that has been deleted. It must not call
	// methods of the Map.
	OnChange func(key string, value *V)
	// ReadWait returns how long a read waits for a change, and ReadPause the pause between reads. A longer wait makes fewer
	// calls, but a read whose connection has gone silent is noticed only after the wait and the time limit of a call.
	ReadWait, ReadPause func() time.Duration
}

// Map is a map that the instances share through the store. Reads follow the store; updates are written in the background.
type Map[V any] struct {
	opts    MapOptions[V]
	replica *Replica
	updates chan mapUpdate[V]
	puts    chan Record
	entries map[string]mapEntry[V] // the replica guards it, replaced and changedAt
	// replaced holds the entries before a reload until the reload has read them again.
	replaced map[string]mapEntry[V]
	// changedAt is when this instance read the last change.
	changedAt time.Time
}

// mapUpdate is an update that waits to be written.
type mapUpdate[V any] struct {
	key    string
	change func(old *V) (next *V, write bool)
}

// mapEntry is a value with the time at which this instance has read it.
type mapEntry[V any] struct {
	value  V
	readAt time.Time
}

// NewMap returns a Map that has read nothing yet. Run starts it.
func NewMap[V any](opts MapOptions[V]) *Map[V] {
	m := &Map[V]{
		opts: opts, updates: make(chan mapUpdate[V], maxMapUpdates), puts: make(chan Record, maxMapUpdates),
		entries: map[string]mapEntry[V]{},
	}
	m.replica = NewReplica(opts.Log, Partition{Topic: opts.Topic}, m)
	return m
}

// HasRead reports whether all values that were in the store have been read.
func (m *Map[V]) HasRead() bool { return m.replica.HasRead() }

// Sync waits until the map holds every value that was written before the call.
func (m *Map[V]) Sync(ctx context.Context) error { return m.replica.Sync(ctx) }

// Get returns the value of a key as far as it has been read.
func (m *Map[V]) Get(key string) (value V, found bool) {
	value, _, found = m.GetWithAge(key)
	return value, found
}

// GetWithAge is Get with the time since this instance has read the value.
func (m *Map[V]) GetWithAge(key string) (value V, age time.Duration, found bool) {
	m.replica.View(func() {
		var entry mapEntry[V]
		if entry, found = m.entries[key]; found {
			value, age = entry.value, time.Since(entry.readAt)
		}
	})
	return value, age, found
}

// Reset implements State.
func (m *Map[V]) Reset() {
	m.replaced, m.entries = m.entries, map[string]mapEntry[V]{}
}

// Loaded implements LoadObserver.
func (m *Map[V]) Loaded() {
	for key := range m.replaced {
		if _, kept := m.entries[key]; !kept {
			m.opts.OnChange(key, nil)
		}
	}
	m.replaced = nil
}

// Apply implements State.
func (m *Map[V]) Apply(r Record) {
	m.changedAt = time.Now()
	if r.Value == nil {
		delete(m.entries, r.Key)
		m.opts.OnChange(r.Key, nil)
		return
	}
	var value V
	if err := cbor.Unmarshal(r.Value, &value); err != nil {
		m.opts.Logger.Error("record not readable", "topic", m.opts.Topic, "key", r.Key, "offset", r.Offset, "err", err)
		return
	}
	m.entries[r.Key] = mapEntry[V]{value: value, readAt: time.Now()}
	m.opts.OnChange(r.Key, &value)
}

// Update changes the value of a key in the background. change gets the stored value, or nil, and returns the new one, with
// nil for a deletion, and whether it is to be written. It may be called several times. An update that finds too many others
// waiting is dropped.
func (m *Map[V]) Update(key string, change func(old *V) (next *V, write bool)) {
	select {
	case m.updates <- mapUpdate[V]{key: key, change: change}:
	default:
		m.opts.Logger.Warn("update not written", "topic", m.opts.Topic, "key", key, "reason", "too many updates wait")
	}
}

// Put sets the value of a key in the background, or deletes it if value is nil, whatever is stored. It reaches the other
// instances sooner than Update, because it never has to read first.
func (m *Map[V]) Put(key string, value *V) {
	record := Record{Key: key}
	if value != nil {
		data, err := cbor.Marshal(value)
		if err != nil {
			m.opts.Logger.Error("value not encoded", "topic", m.opts.Topic, "key", key, "err", err)
			return
		}
		record.Value = data
	}
	select {
	case m.puts <- record:
	default:
		m.opts.Logger.Warn("value not written", "topic", m.opts.Topic, "key", key, "reason", "too many values wait")
	}
}

// append writes the first record and those that wait behind it, again after each failure, until ctx ends.
func (m *Map[V]) append(ctx context.Context, first Record) {
	records := []Record{first}
	for len(m.puts) > 0 {
		records = append(records, <-m.puts)
	}
	for attempt := 1; ctx.Err() == nil; attempt++ {
		attemptCtx, cancel := context.WithTimeout(ctx, mapWriteTimeout)
		err := AppendWithRetry(attemptCtx, m.opts.Log, Partition{Topic: m.opts.Topic}, records)
		cancel()
		if err == nil {
			return
		}
		if isRejected(err) {
			m.opts.Logger.Error("value not written", "topic", m.opts.Topic, "count", len(records), "err", err)
			return
		}
		if attempt == 1 {
			m.opts.Logger.Warn("values not written yet", "topic", m.opts.Topic, "count", len(records), "err", err)
		}
		timing.Sleep(ctx, retryDelay)
	}
}

// Run follows the map and writes updates until ctx ends. onRead is called with the outcome of each read.
func (m *Map[V]) Run(ctx context.Context, onRead func(error)) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		m.replica.Follow(ctx, m.readWait, m.opts.ReadPause, onRead)
	}()
	for ctx.Err() == nil {
		select {
		case <-ctx.Done():
		case u := <-m.updates:
			m.writeWithRetry(ctx, u)
		case record := <-m.puts:
			m.append(ctx, record)
		}
	}
	<-done
}

// readWait returns how long the next read waits for a change.
func (m *Map[V]) readWait() (wait time.Duration) {
	m.replica.View(func() {
		if wait = m.opts.ReadWait(); time.Since(m.changedAt) < changesFollowTime {
			wait = min(wait, shortReadWait)
		}
	})
	return wait
}

// writeWithRetry writes an update, again after each failure, until ctx ends.
func (m *Map[V]) writeWithRetry(ctx context.Context, u mapUpdate[V]) {
	for attempt := 1; ; attempt++ {
		err := m.write(ctx, u)
		if err == nil || ctx.Err() != nil {
			return
		}
		if isRejected(err) {
			m.opts.Logger.Error("update not written", "topic", m.opts.Topic, "key", u.key, "err", err)
			return
		}
		if attempt == 1 {
			m.opts.Logger.Warn("update not written yet", "topic", m.opts.Topic, "key", u.key, "err", err)
		}
		timing.Sleep(ctx, retryDelay)
	}
}

// write makes one attempt to write an update.
func (m *Map[V]) write(ctx context.Context, u mapUpdate[V]) error {
	ctx, cancel := context.WithTimeout(ctx, mapWriteTimeout)
	defer cancel()
	var encodeErr error
	_, err := m.replica.Commit(ctx, func() []Record {
		var old *V
		if entry, ok := m.entries[u.key]; ok {
			old = &entry.value
		}
		next, write := u.change(old)
		switch {
		case !write || (next == nil && old == nil):
			return nil
		case next == nil:
			return []Record{{Key: u.key}}
		}
		var data []byte
		if data, encodeErr = cbor.Marshal(next); encodeErr != nil {
			return nil
		}
		return []Record{{Key: u.key, Value: data}}
	})
	if encodeErr != nil {
		m.opts.Logger.Error("update not encoded", "topic", m.opts.Topic, "key", u.key, "err", encodeErr)
	}
	return err
}

// DeleteIf deletes the keys that match, in the background. age is the time since this instance has read the value.
func (m *Map[V]) DeleteIf(match func(key string, value V, age time.Duration) bool) {
	for _, key := range m.matching(match) {
		m.Put(key, nil)
	}
}

// DeleteMany deletes the keys that match like DeleteIf, however many they are, and returns when they are deleted or ctx ends. Nothing may
// write these keys at the same time.
func (m *Map[V]) DeleteMany(ctx context.Context, match func(key string, value V, age time.Duration) bool) error {
	for keys := range slices.Chunk(m.matching(match), maxMapUpdates) {
		records := make([]Record, len(keys))
		for n, key := range keys {
			records[n].Key = key
		}
		if err := AppendWithRetry(ctx, m.opts.Log, Partition{Topic: m.opts.Topic}, records); err != nil {
			return err
		}
	}
	return nil
}

// matching returns the keys that match. age is the time since this instance has read the value.
func (m *Map[V]) matching(match func(key string, value V, age time.Duration) bool) (keys []string) {
	m.replica.View(func() {
		for key, entry := range m.entries {
			if match(key, entry.value, time.Since(entry.readAt)) {
				keys = append(keys, key)
			}
		}
	})
	return keys
}
