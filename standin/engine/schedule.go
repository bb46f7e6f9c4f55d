package engine

import (
	"context"
	"sort"
	"time"

	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/standin"
)

// maxTick bounds the time by which one tick advances the batch, so that a pause of the test
// machine does not cause a burst of tokens.
const maxTick = 50 * time.Millisecond

// sequence is one generation in progress.
type sequence struct {
	req          platform.GenerateRequest
	arrival      int64
	prefillLeft  float64 // tokens still to prefill
	prefilled    bool
	kvVersion    int64
	cached       bool
	mixedKV      bool // the KV cache was computed by more than one weight version
	tokenCredit  float64
	produced     int // including resumed tokens
	chunk        []int64
	chunkIndex   int
	chunkVersion int64
	sentFirst    bool
	events       []platform.GenerateEvent
	done         bool
	preempted    int           // number of preemptions
	active       bool          // part of the running batch
	notify       chan struct{} // receives a value after events were added
	execution    *Execution
}

// schedule advances the batch every Tick until ctx is done.
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

// tick records a load snapshot and advances the batch by dt seconds.
func (s *Server) tick(dt float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.recordSnapshot(time.Now())
	if s.swapping || len(s.sequences) == 0 {
		return
	}
	batch := s.batch()
	dt *= s.speedFactor
	tokens := s.opts.Rate(len(batch)) * dt
	for _, q := range batch {
		s.advanceSequence(q, dt, tokens)
	}
	kept := s.sequences[:0]
	for _, q := range s.sequences {
		if !q.done {
			kept = append(kept, q)
		}
	}
	clear(s.sequences[len(kept):])
	s.sequences = kept
}

// batch selects the sequences that run now, by descending priority and then by arrival.
func (s *Server) batch() []*sequence {
	batch := s.sequences
	if len(s.sequences) > s.opts.MaxBatch {
		batch = append([]*sequence(nil), s.sequences...)
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

// advanceSequence prefills q for dt seconds and, if the prefill is complete, generates the given
// number of tokens. Fractions of tokens are carried over to the next tick.
func (s *Server) advanceSequence(q *sequence, dt, tokens float64) {
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
	q.tokenCredit += tokens
	for q.tokenCredit >= 1 && q.produced < q.req.MaxTokens {
		q.tokenCredit--
		if len(q.chunk) > 0 && q.chunkVersion != s.version {
			q.flush(false)
		}
		if len(q.chunk) == 0 {
			q.chunkIndex, q.chunkVersion = q.produced, s.version
		}
		q.chunk = append(q.chunk, standin.Token(q.req.Prompt, q.req.Seed, q.produced, s.version))
		q.produced++
		if len(q.chunk) >= s.opts.ChunkTokens {
			q.flush(false)
		}
	}
	if q.produced >= q.req.MaxTokens {
		s.finishSequence(q)
	}
}

// finishPrefill records the weight version that computed the KV cache of the prompt, and adds
// the prompt to the prefix cache.
func (s *Server) finishPrefill(q *sequence) {
	q.prefilled = true
	if q.kvVersion == 0 {
		q.kvVersion = s.version
	}
	s.cache.add(q.req, q.kvVersion)
	s.ledger.recordPrefill(q)
}

func (s *Server) finishSequence(q *sequence) {
	q.flush(true)
	q.done = true
	s.ledger.recordEnd(q, true)
	s.kv.add(q)
	delete(s.byID, q.req.RequestID)
}

// flush adds an event with the pending chunk. done marks it as the final event.
func (q *sequence) flush(done bool) {
	e := platform.GenerateEvent{RequestID: q.req.RequestID, Index: q.chunkIndex, Tokens: q.chunk, Version: q.chunkVersion}
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

// removeSequence removes a sequence whose client disconnected or cancelled it. Its KV cache can
// still be exported.
func (s *Server) removeSequence(q *sequence) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byID[q.req.RequestID] != q {
		return
	}
	delete(s.byID, q.req.RequestID)
	for i, other := range s.sequences {
		if other == q {
			s.sequences = append(s.sequences[:i:i], s.sequences[i+1:]...)
			break
		}
	}
	s.ledger.recordEnd(q, false)
	s.kv.add(q)
}
