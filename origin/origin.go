// Package origin remembers at which version of a service's software the streams of clients began.
//
// Back ends of several software versions may serve side by side, and what two versions write does not fit together: a stream that a
// client takes up goes on only at the version that began it. The client names the attempt that brought its first event, and may come
// to any instance, also after all of them have restarted. So the version is a record in the platform's store, written when a stream
// begins. An instance that finds no record knows nothing: it must not guess.
package origin

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"sync"
	"time"

	"github.com/charmbracelet/log"

	"github.com/cicadasill/cicadasill/changelog"
	"github.com/cicadasill/cicadasill/timing"
)

const topic = "streams"

// Times of records.
const (
	// KeepMargin is how long the origin of a stream is kept after the deadline of its client, which takes the stream up before. It
	// covers the difference between the times at which instances read the record.
	KeepMargin = 15 * time.Second
	// DefaultKeep is how long it is kept if the client states no deadline, maxKeep at most.
	DefaultKeep = 2 * time.Minute
	maxKeep     = time.Hour
	// cleanInterval is the time between two searches for records that are no longer kept, cleanTimeout bounds their deletion.
	cleanInterval = 2 * time.Second
	cleanTimeout  = 3 * time.Second
	// findTimeout bounds the read of a record that this instance does not know yet. A call to the store on a silent connection and
	// its repeat fit.
	findTimeout = 800 * time.Millisecond
)

// Origin is where a stream began.
type Origin struct {
	Service string `cbor:"1,keyasint"`
	// Software is the version of the back end's software.
	Software string `cbor:"2,keyasint"`
	// Keep is how long the record is kept.
	Keep time.Duration `cbor:"3,keyasint"`
	// Backend is the id of the back end. Instances of earlier releases do not state it.
	Backend string `cbor:"4,keyasint,omitempty"`
	// Doubtful states that the instance at which the stream began had old entries: another process may have been in the back end's place.
	Doubtful bool `cbor:"5,keyasint,omitempty"`
	// KnownFor is the time since this instance has recorded or read the origin. Find sets it.
	KnownFor time.Duration `cbor:"-"`
}

// Options configure a Table.
type Options struct {
	Log    changelog.Log
	Logger *log.Logger
	// ReadWait returns how long a read waits for records, ReadPause the pause between reads.
	ReadWait, ReadPause func() time.Duration
	// Rank returns this instance's rank among all for a key. The first one deletes the records that are no longer kept.
	Rank func(key string) int
}

// Table holds the origins of streams. All methods are safe for concurrent use.
type Table struct {
	opts    Options
	records *changelog.Map[Origin]

	mu     sync.Mutex           // guards unread
	unread map[string]unwritten // recorded here, and not read from the store yet
}

// unwritten is an origin that this instance has recorded at a moment.
type unwritten struct {
	Origin
	at time.Time
}

// New returns a Table that has read nothing yet.
func New(opts Options) *Table {
	t := &Table{opts: opts, unread: map[string]unwritten{}}
	t.records = changelog.NewMap(changelog.MapOptions[Origin]{
		Log: opts.Log, Topic: topic, Logger: opts.Logger, ReadWait: opts.ReadWait, ReadPause: opts.ReadPause,
		OnChange: func(key string, _ *Origin) {
			t.mu.Lock()
			defer t.mu.Unlock()
			delete(t.unread, key)
		},
	})
	return t
}

// Run follows the records, writes those of this instance and deletes old ones until ctx ends. onRead is called with the outcome of each
// read.
func (t *Table) Run(ctx context.Context, onRead func(error)) {
	done := make(chan struct{})
	go func() {
		defer close(done)
		t.records.Run(ctx, onRead)
	}()
	for timing.Sleep(ctx, cleanInterval) {
		t.clean(ctx)
	}
	<-done
}

// clean deletes the records that are no longer kept. A record is as old as this instance has known it.
func (t *Table) clean(ctx context.Context) {
	t.mu.Lock()
	for key, o := range t.unread {
		if time.Since(o.at) > o.Keep {
			delete(t.unread, key)
		}
	}
	t.mu.Unlock()
	if t.opts.Rank(topic) != 0 {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, cleanTimeout)
	defer cancel()
	err := t.records.DeleteMany(ctx, func(_ string, o Origin, age time.Duration) bool { return age > boundKeep(o.Keep) })
	if err != nil {
		t.opts.Logger.Debug("old origins not deleted yet", "err", err)
	}
}

// boundKeep returns the time for which a record with the given one is kept.
func boundKeep(keep time.Duration) time.Duration { return min(max(keep, KeepMargin), maxKeep) }

// Record records where the stream of a client's attempt began, in the background. The account is empty for clients without one.
func (t *Table) Record(account, attempt string, o Origin) {
	o.Keep = boundKeep(o.Keep)
	key := keyOf(account, attempt)
	t.mu.Lock()
	t.unread[key] = unwritten{o, time.Now()}
	t.mu.Unlock()
	t.records.Put(key, &o)
}

// Find returns where the stream of a client's attempt began, and false if there is no record of it. It reads the store unless this
// instance knows the record, and fails if that fails.
func (t *Table) Find(ctx context.Context, account, attempt string) (Origin, bool, error) {
	key := keyOf(account, attempt)
	if o, ok := t.known(key); ok {
		return o, true, nil
	}
	ctx, cancel := context.WithTimeout(ctx, findTimeout)
	defer cancel()
	if err := t.records.Sync(ctx); err != nil {
		return Origin{}, false, err
	}
	o, ok := t.known(key)
	return o, ok, nil
}

// known returns an origin that this instance has recorded or read.
func (t *Table) known(key string) (Origin, bool) {
	t.mu.Lock()
	o, ok := t.unread[key]
	t.mu.Unlock()
	if ok {
		o.KnownFor = time.Since(o.at)
		return o.Origin, true
	}
	read, age, ok := t.records.GetWithAge(key)
	read.KnownFor = age
	return read, ok
}

// keyOf returns the key of an attempt's record. It has a fixed length, because clients choose the ids.
func keyOf(account, attempt string) string {
	sum := sha256.Sum256([]byte(account + "\x00" + attempt))
	return hex.EncodeToString(sum[:16])
}
