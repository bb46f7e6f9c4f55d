package rollout

import (
	"context"
	"math"
	"sort"
	"time"

	"github.com/cicadasill/cicadasill/contract"
)

// Bounds of moves and hedges.
const (
	// moveRatio is the speed relative to the best engine below which an engine counts as slow.
	moveRatio = 0.6
	// maxMoves bounds the moves of one sample, so that two engines of varying speed do not exchange it.
	maxMoves = 3
	// minMoveGain is the saved time below which a move is not worth the new prefill.
	minMoveGain = 200 * time.Millisecond
	// maxStartsPerTick bounds moves and hedges started in one period.
	maxStartsPerTick = 32
	// The tail of a step is tailBase + tailWeight * idle_weight of its samples.
	tailBase, tailWeight = 0.05, 0.15
	// A stalled sample is hedged after hedgeDelay * (2 - 1.75 * idle_weight): 0.1 s to 0.8 s.
	hedgeDelay = 400 * time.Millisecond
	// stallFactor is how many times the longest gap between a stream's events counts as a stall.
	stallFactor = 2
)

type candidate struct {
	a         *attempt
	remaining float64
}

// monitor stops samples that will be too old and starts moves and hedges.
func (st *step) monitor(ctx context.Context) {
	svc, ok := st.service()
	if !ok || svc.Rollout == nil {
		return
	}
	st.mu.Lock()
	st.reorder()
	if st.holding && !st.mayHold() {
		st.notify()
	}
	if !st.srv.opts.NoEarlyStop {
		st.stopOld(svc)
	}
	st.parkLong()
	moves := st.moveCandidates()
	hedges := st.hedgeCandidates(svc)
	st.mu.Unlock()
	for _, c := range moves {
		st.second(ctx, svc, c.a, true)
	}
	for _, c := range hedges {
		st.second(ctx, svc, c.a, false)
	}
}

// stopOld restarts samples whose oldest version is beyond the bound for the trainer's next take,
// and, by the idle weight, those that are merely older than a version that is loaded. The latter
// only in the step that the trainer takes from: in a later step they would age again until then.
func (st *step) stopOld(svc *contract.Service) {
	expected := st.expectedVersion(svc)
	loaded := min(st.newestLoaded(svc), max(expected, st.srv.opts.Directory.NewestVersion(st.key.service)))
	for _, s := range st.samples {
		if s.have || s.queued && s.saved == nil {
			continue
		}
		oldest, ok := st.currentOldest(s)
		if !ok {
			continue
		}
		if s.result == nil && expected-oldest > svc.Rollout.MaxVersionLag {
			st.restart(s, WasteTooOld)
			continue
		}
		if st.taking != nil && !s.delivered && s.softRestarts == 0 && loaded-oldest > softLag(svc.Rollout) {
			// Only one such restart: versions that arrive faster than a long sample finishes would
			// otherwise keep it from ever finishing.
			s.softRestarts++
			st.restart(s, WasteRestart)
		}
	}
}

func (st *step) currentOldest(s *sample) (int64, bool) {
	if s.result != nil {
		return s.result.oldest(), true
	}
	return s.oldest()
}

// newestLoaded returns the newest version that some engine of svc runs.
func (st *step) newestLoaded(svc *contract.Service) int64 {
	newest := st.srv.speeds.newestVersion(st.key.service)
	if st.srv.opts.Load != nil {
		for _, b := range svc.Backends {
			newest = max(newest, st.srv.opts.Load(b.ID).Version)
		}
	}
	return newest
}

// moveCandidates lists attempts on slow engines whose samples gain from another one. While samples
// wait for engines, only long ones are moved: a slow engine still adds throughput.
func (st *step) moveCandidates() []candidate {
	if st.srv.opts.NoMoves {
		return nil
	}
	speeds := st.srv.speeds.of(st.key.service, st.srv.now())
	var out []candidate
	for _, s := range st.samples {
		if len(s.live) != 1 || s.moves >= maxMoves || s.live[0].lastEvent.IsZero() {
			continue
		}
		a := s.live[0]
		own, best := speeds.engine[a.pick.Backend.ID], speeds.best
		if own == 0 || own >= moveRatio*best {
			continue
		}
		remaining := st.remaining(s, a)
		gain := time.Duration((remaining/own - remaining/best) * float64(time.Second))
		if gain < minMoveGain || (len(st.pending) > 0 && !s.parked && !st.isLong(s.group)) {
			continue
		}
		out = append(out, candidate{a: a, remaining: remaining})
	}
	return longest(out, maxStartsPerTick)
}

func (st *step) remaining(s *sample, a *attempt) float64 {
	done := len(a.progress.tokens)
	return max(1, st.srv.lengths.predict(st.key.service, s.group, done)-float64(done))
}

// hedgeCandidates lists stalled attempts in the tail of the step, as far as the budget allows.
func (st *step) hedgeCandidates(svc *contract.Service) []candidate {
	budget := int(math.Ceil(st.srv.opts.HedgeBudget*float64(len(st.samples)))) - st.hedges
	if st.srv.opts.NoHedging || budget <= 0 || len(st.pending) > 0 {
		return nil
	}
	tail := max(1, int((tailBase+tailWeight*svc.Rollout.IdleWeight)*float64(len(st.samples))))
	delay := time.Duration(float64(hedgeDelay) * (2 - 1.75*svc.Rollout.IdleWeight))
	now := st.srv.now()
	unfinished := 0
	var out []candidate
	for _, s := range st.samples {
		if s.have || s.result != nil || s.winner != nil {
			continue
		}
		unfinished++
		// An engine that sends large chunks is silent between them.
		if len(s.live) == 1 && now.Sub(s.live[0].lastProgress()) > max(delay, stallFactor*s.live[0].gap) {
			out = append(out, candidate{a: s.live[0], remaining: st.remaining(s, s.live[0])})
		}
	}
	if unfinished > tail {
		return nil
	}
	return longest(out, min(budget, maxStartsPerTick))
}

func longest(list []candidate, n int) []candidate {
	sort.Slice(list, func(i, j int) bool { return list[i].remaining > list[j].remaining })
	return list[:min(n, len(list))]
}

// second starts another attempt for a's sample on a faster engine: a move or a hedge.
func (st *step) second(ctx context.Context, svc *contract.Service, a *attempt, move bool) {
	st.srv.slots.force(st.key.service, st.key.trainer)
	ahead, _ := st.ahead()
	st.mu.Lock()
	// An engine that still runs older weights would make the sample older than it is.
	floor := max(st.softFloor(svc, ahead), a.version)
	st.mu.Unlock()
	exclude := append(st.srv.speeds.of(st.key.service, st.srv.now()).slow(moveRatio), a.pick.Backend.ID)
	g := a.s.group
	pick, err := st.srv.opts.Picker.Pick(ctx, PickRequest{
		Service: svc, PrefixID: g.PrefixID, Prompt: g.Prompt, MaxTokens: g.MaxTokens, MinVersion: floor, Exclude: exclude,
	})
	if err != nil {
		st.srv.slots.release(st.key.service, st.key.trainer)
		return
	}
	st.mu.Lock()
	if move {
		a.s.moves++
		st.srv.metrics.moves.WithLabelValues(st.key.service).Inc()
	} else {
		a.s.hedged = true
		st.hedges++
		st.srv.metrics.hedges.WithLabelValues(st.key.service).Inc()
	}
	st.mu.Unlock()
	st.launch(ctx, a.s, pick, a, move)
}
