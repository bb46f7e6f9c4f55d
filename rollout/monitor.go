package rollout

import (
	"context"
	"math"
	"sort"
	"time"

	"github.com/cicadasill/cicadasill/contract"
)

// Thresholds and limits of moves and hedges.
const (
	// moveRatio is the speed relative to the fastest engine below which an engine counts as slow.
	moveRatio = 0.6
	// maxMoves bounds the moves of one sample, so that it does not move back and forth between two
	// engines of varying speed.
	maxMoves = 3
	// minMoveGain is the expected time saved below which a move is not worth another prefill.
	minMoveGain = 200 * time.Millisecond
	// maxStartsPerTick bounds the moves, and separately the hedges, that are started in one monitor
	// interval.
	maxStartsPerTick = 32
	// The tail of a step is the last fraction tailBase + tailWeight * idle_weight of its samples.
	tailBase, tailWeight = 0.05, 0.15
	// A stalled sample is hedged after hedgeDelay * (2 - 1.75 * idle_weight): 0.1 s to 0.8 s.
	hedgeDelay = 400 * time.Millisecond
	// stallFactor is the multiple of the longest gap between a stream's events above which the stream
	// counts as stalled.
	stallFactor = 2
)

// candidate is a running attempt for which a move or a hedge may be started.
type candidate struct {
	attempt         *attempt
	remainingTokens float64
}

// monitor restarts samples that will be too old, parks long ones and starts moves and hedges.
func (st *step) monitor(ctx context.Context) {
	svc, ok := st.service()
	if !ok || svc.Rollout == nil {
		return
	}
	st.mu.Lock()
	st.reorderPending()
	if st.awaitingNewVersion && !st.mayAwaitNewVersion() {
		st.notifyTake()
	}
	if !st.srv.opts.NoEarlyStop {
		st.restartOutdated(svc)
	}
	st.parkLongSamples()
	moves := st.moveCandidates()
	hedges := st.hedgeCandidates(svc)
	st.mu.Unlock()
	for _, c := range moves {
		st.startSecondAttempt(ctx, svc, c.attempt, true)
	}
	for _, c := range hedges {
		st.startSecondAttempt(ctx, svc, c.attempt, false)
	}
}

// restartOutdated restarts samples whose oldest version will exceed MaxVersionLag at the trainer's next
// take. In the step that the trainer takes from, it also restarts samples that lag a loaded version by
// more than the soft lag; in a later step they would age again before they are taken.
func (st *step) restartOutdated(svc *contract.Service) {
	expected := st.expectedVersion(svc)
	loaded := min(st.newestLoadedVersion(svc), max(expected, st.srv.opts.Directory.NewestVersion(st.key.service)))
	for _, s := range st.samples {
		if s.heldByTrainer || s.queued && s.resumeFrom == nil {
			continue
		}
		oldest, ok := st.currentOldestVersion(s)
		if !ok {
			continue
		}
		if s.result == nil && expected-oldest > svc.Rollout.MaxVersionLag {
			st.restart(s, WasteTooOld)
			continue
		}
		if st.currentTake != nil && !s.delivered && s.softRestarts == 0 && loaded-oldest > softLag(svc.Rollout) {
			// A sample is restarted only once for the soft lag. If versions arrived faster than a long
			// sample finishes, it would otherwise never finish.
			s.softRestarts++
			st.restart(s, WasteRestart)
		}
	}
}

// currentOldestVersion returns the oldest version of s, whether s is finished or not.
func (st *step) currentOldestVersion(s *sample) (int64, bool) {
	if s.result != nil {
		return s.result.oldestVersion(), true
	}
	return s.oldestVersion()
}

// newestLoadedVersion returns the newest version that any engine of svc is known to run.
func (st *step) newestLoadedVersion(svc *contract.Service) int64 {
	newest := st.srv.speeds.newestVersion(st.key.service)
	if st.srv.opts.Load != nil {
		for _, b := range svc.Backends {
			newest = max(newest, st.srv.opts.Load(b.ID).Version)
		}
	}
	return newest
}

// moveCandidates returns attempts on slow engines whose samples would finish sooner on another engine.
// While samples are pending, only long and parked ones are moved, since a slow engine still adds
// throughput.
func (st *step) moveCandidates() []candidate {
	if st.srv.opts.NoMoves {
		return nil
	}
	speeds := st.srv.speeds.forService(st.key.service, st.srv.now())
	var out []candidate
	for _, s := range st.samples {
		if len(s.running) != 1 || s.moves >= maxMoves || s.running[0].lastEventAt.IsZero() {
			continue
		}
		a := s.running[0]
		speed, best := speeds.byEngine[a.pick.Backend.ID], speeds.best
		if speed == 0 || speed >= moveRatio*best {
			continue
		}
		remaining := st.remainingTokens(s, a)
		gain := time.Duration((remaining/speed - remaining/best) * float64(time.Second))
		if gain < minMoveGain || (len(st.pending) > 0 && !s.parked && !st.isLong(s.group)) {
			continue
		}
		out = append(out, candidate{attempt: a, remainingTokens: remaining})
	}
	return longestRemaining(out, maxStartsPerTick)
}

// remainingTokens returns the predicted number of tokens that a has yet to generate, at least 1.
func (st *step) remainingTokens(s *sample, a *attempt) float64 {
	done := len(a.progress.tokens)
	return max(1, st.srv.lengths.predict(st.key.service, s.group, done)-float64(done))
}

// hedgeCandidates returns stalled attempts in the tail of the step, up to the hedge budget. There are
// none while samples are pending.
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
		if s.heldByTrainer || s.result != nil || s.unscored != nil {
			continue
		}
		unfinished++
		// The threshold covers the longest gap so far, since an engine that sends large chunks is
		// silent between them.
		if len(s.running) == 1 && now.Sub(s.running[0].lastActivity()) > max(delay, stallFactor*s.running[0].longestGap) {
			out = append(out, candidate{attempt: s.running[0], remainingTokens: st.remainingTokens(s, s.running[0])})
		}
	}
	if unfinished > tail {
		return nil
	}
	return longestRemaining(out, min(budget, maxStartsPerTick))
}

// longestRemaining returns the n candidates with the most remaining tokens.
func longestRemaining(list []candidate, n int) []candidate {
	sort.Slice(list, func(i, j int) bool { return list[i].remainingTokens > list[j].remainingTokens })
	return list[:min(n, len(list))]
}

// startSecondAttempt starts a move or a hedge of a's sample on another engine that is not slow.
func (st *step) startSecondAttempt(ctx context.Context, svc *contract.Service, a *attempt, move bool) {
	st.srv.slots.forceAcquire(st.key.service, st.key.trainer)
	ahead, _ := st.versionsAhead()
	st.mu.Lock()
	// An engine that still runs older weights would lower the sample's oldest version.
	minVersion := max(st.softMinVersion(svc, ahead), a.version)
	st.mu.Unlock()
	exclude := append(st.srv.speeds.forService(st.key.service, st.srv.now()).slow(moveRatio), a.pick.Backend.ID)
	g := a.sample.group
	pick, err := st.srv.opts.Picker.Pick(ctx, PickRequest{
		Service: svc, PrefixID: g.PrefixID, Prompt: g.Prompt, MaxTokens: g.MaxTokens, MinVersion: minVersion, Exclude: exclude,
	})
	if err != nil {
		st.srv.slots.release(st.key.service, st.key.trainer)
		return
	}
	st.mu.Lock()
	if move {
		a.sample.moves++
		st.srv.metrics.moves.WithLabelValues(st.key.service).Inc()
	} else {
		a.sample.hedged = true
		st.hedges++
		st.srv.metrics.hedges.WithLabelValues(st.key.service).Inc()
	}
	st.mu.Unlock()
	st.startAttempt(ctx, a.sample, pick, a, move)
}
