package engine

import (
	"context"
	"sort"
	"time"

	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/standin"
)

// maxTick bounds the time that one tick accounts for, so that a pause of the test machine
// does not produce a burst of tokens.
const maxTick = 50 * time.Millisecond

// sequence is one generation in progress.
type sequence struct {
	req         platform.GenerateRequest
	arrival     int64
	prefillLeft float64
	prefilled   bool
	kvVersion   int64
	cached      bool
	mixedKV     bool // the KV cache was computed by more than one version
	credit      float64
	produced    int // including resumed tokens
	chunk       []int64
	chunkFrom   int
	chunkOf     int64
	sentFirst   bool
	events      []platform.GenerateEvent
	done        bool
	preempted   int
	active      bool
	notify      chan struct{}
	execution   *Execution
}

func (s *Server) schedule(ctx context.Context) {
	t := time.NewTicker(s.opts.Tick)
	defer t.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-t.C:
			s.tick(min(now.Sub(last), maxTick).Seconds())
			last = now
		}
	}
}

// tick advances the batch by dt seconds.
func (s *Server) tick(dt float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.snapshot(time.Now())
	if s.swapping || len(s.seqs) == 0 {
		return
	}
	batch := s.batch()
	dt *= s.slow
	tokens := s.opts.Rate(len(batch)) * dt
	for _, q := range batch {
		s.advance(q, dt, tokens)
	}
	kept := s.seqs[:0]
	for _, q := range s.seqs {
		if !q.done {
			kept = append(kept, q)
		}
	}
	clear(s.seqs[len(kept):])
	s.seqs = kept
}

// batch selects the sequences that run now: the highest priorities first, then by arrival.
func (s *Server) batch() []*sequence {
	batch := s.seqs
	if len(s.seqs) > s.opts.MaxBatch {
		batch = append([]*sequence(nil), s.seqs...)
		sort.SliceStable(batch, func(i, j int) bool { return batch[i].req.Priority > batch[j].req.Priority })
		for _, q := range batch[s.opts.MaxBatch:] {
			if q.active {
				q.active = false
				q.preempted++
			}
		}
		batch = batch[:s.opts.MaxBatch]
	}
	for _, q := range batch {
		q.active = true
	}
	return batch
}

func (s *Server) advance(q *sequence, dt, tokens float64) {
	if !q.prefilled {
		q.prefillLeft -= s.opts.PrefillRate * dt
		if q.prefillLeft > 0 {
			return
		}
		s.finishPrefill(q)
	}
	if q.kvVersion != s.version {
		q.mixedKV = true
	}
	q.credit += tokens
	for q.credit >= 1 && q.produced < q.req.MaxTokens {
		q.credit--
		if len(q.chunk) > 0 && q.chunkOf != s.version {
			q.flush(false)
		}
		if len(q.chunk) == 0 {
			q.chunkFrom, q.chunkOf = q.produced, s.version
		}
		q.chunk = append(q.chunk, standin.Token(q.req.Prompt, q.req.Seed, q.produced, s.version))
		q.produced++
		if len(q.chunk) >= s.opts.ChunkTokens {
			q.flush(false)
		}
	}
	if q.produced >= q.req.MaxTokens {
		s.finish(q)
	}
}

// finishPrefill notes the version that computed the KV cache of the prompt.
func (s *Server) finishPrefill(q *sequence) {
	q.prefilled = true
	if q.kvVersion == 0 {
		q.kvVersion = s.version
	}
	s.cache.add(q.req, q.kvVersion)
	s.ledger.prefilled(q)
}

func (s *Server) finish(q *sequence) {
	q.flush(true)
	q.done = true
	s.ledger.end(q, true)
	s.kv.add(q)
	delete(s.byID, q.req.RequestID)
}

// flush turns the chunk into an event.
func (q *sequence) flush(done bool) {
	e := platform.GenerateEvent{RequestID: q.req.RequestID, Index: q.chunkFrom, Tokens: q.chunk, Version: q.chunkOf}
	if len(q.chunk) == 0 {
		e.Index, e.Version = q.produced, q.kvVersion
	}
	if !q.sentFirst {
		q.sentFirst = true
		e.KVVersion, e.CachedPrompt = q.kvVersion, q.cached
	}
	if done {
		e.Done, e.Total = true, q.produced
	}
	q.chunk = nil
	q.events = append(q.events, e)
	select {
	case q.notify <- struct{}{}:
	default:
	}
}

// remove takes a sequence whose client left out of the batch; its KV cache stays exportable.
func (s *Server) remove(q *sequence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byID[q.req.RequestID] != q {
		return
	}
	delete(s.byID, q.req.RequestID)
	for i, other := range s.seqs {
		if other == q {
			s.seqs = append(s.seqs[:i:i], s.seqs[i+1:]...)
			break
		}
	}
	s.ledger.end(q, false)
	s.kv.add(q)
}
