package rollout

import (
	"context"
	"time"

	"github.com/cicadasill/cicadasill/contract"
)

// take returns finished samples that the trainer lacks, and waits for the first one if there is none. A
// newer take of the same step ends an older one that is still waiting, since the trainer has given up
// on the older one.
func (st *step) take(ctx context.Context, svc *contract.Service, req *TakeRequest) (*TakeResponse, *Error) {
	have, err := DecodeBitmap(req.Have, len(st.samples))
	if err != nil {
		return nil, err.(*Error)
	}
	replaced := st.beginTake(have, req.Version)
	wait, drained := st.srv.limitTakeWait(time.Duration(req.WaitMs) * time.Millisecond)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	expired := false
	for {
		resp, changed, open := st.collectSamples(svc, have, req)
		if !open {
			return nil, errorf(CodeStepNotOpen, "step %d was closed", st.key.step)
		}
		if len(resp.Samples) > 0 || resp.Complete || expired {
			return resp, nil
		}
		select {
		case <-changed:
		case <-timer.C:
			expired = true
		case <-ctx.Done():
			expired = true
		case <-replaced:
			return resp, nil
		case <-drained: // the trainer repeats the take at another instance
			return resp, nil
		}
	}
}

// beginTake records the trainer's version and bitmap, ends the previous take and returns the channel
// that ends this one.
func (st *step) beginTake(held Bitmap, version int64) <-chan struct{} {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.lastRequest = st.srv.now()
	if version != st.trainerVersion {
		st.trainerVersion, st.versionChangedAt = version, st.lastRequest
	}
	if st.currentTake != nil {
		close(st.currentTake)
	}
	st.currentTake = make(chan struct{})
	for _, s := range st.samples {
		st.setHeldByTrainer(s, held.Get(s.position))
	}
	st.wakeUp()
	if !st.started {
		select {
		case <-st.firstTake:
		default:
			close(st.firstTake)
		}
	}
	return st.currentTake
}

// setHeldByTrainer records whether the trainer holds s. A trainer that restarted from an older
// checkpoint lacks samples that it held before; those are delivered or generated again. Called with mu
// held.
func (st *step) setHeldByTrainer(s *sample, held bool) {
	s.heldByTrainer = held
	if !held {
		st.enqueue(s)
		return
	}
	if s.result == nil {
		// The trainer received this sample from another owner.
		st.discard(s, WasteDuplicate)
	}
}

// collectSamples returns the deliverable samples, the channel that signals a change, and false if the
// step is closed. Finished samples beyond the age bound are restarted.
func (st *step) collectSamples(svc *contract.Service, have Bitmap, req *TakeRequest) (*TakeResponse, <-chan struct{}, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.closed {
		return nil, nil, false
	}
	st.lastRequest = st.srv.now()
	st.awaitingNewVersion = false
	resp := &TakeResponse{Samples: []Sample{}}
	tokens := 0
	for _, s := range st.samples {
		if have.Get(s.position) {
			continue
		}
		if !st.checkDeliverable(svc, s, req.Version) || (req.Max > 0 && len(resp.Samples) >= req.Max) || tokens >= maxTokensPerTake {
			resp.Remaining++
			continue
		}
		resp.Samples = append(resp.Samples, *s.result)
		tokens += len(s.result.Tokens)
		st.countDelivery(s, req.Version)
	}
	resp.Complete = resp.Remaining == 0
	return resp, st.changed, true
}

// checkDeliverable reports whether s is finished and fresh enough to be handed over. A finished sample
// beyond the age bound is restarted. Called with mu held.
func (st *step) checkDeliverable(svc *contract.Service, s *sample, version int64) bool {
	if s.result == nil {
		return false
	}
	lag := version - s.result.oldestVersion()
	if lag > svc.Rollout.MaxVersionLag {
		st.restart(s, WasteTooOld)
		return false
	}
	return lag <= softLag(svc.Rollout) || !st.restartOrWait(svc, s, version)
}

// restartOrWait handles a finished sample beyond the soft lag and reports whether its delivery is put
// off. The sample is restarted if an engine runs a fresh enough version; otherwise it is held back
// while engines may still be loading one. A sample is restarted at most once and held back for a
// bounded time, so that the soft lag delays a sample but never prevents its delivery.
func (st *step) restartOrWait(svc *contract.Service, s *sample, version int64) bool {
	if s.softRestarts > 0 {
		return false
	}
	if st.newestLoadedVersion(svc) >= version-softLag(svc.Rollout) {
		s.softRestarts++
		st.restart(s, WasteRestart)
		return true
	}
	st.awaitingNewVersion = st.mayAwaitNewVersion()
	return st.awaitingNewVersion
}

// mayAwaitNewVersion reports whether engines may still be loading the trainer's version. Called with mu
// held.
func (st *step) mayAwaitNewVersion() bool {
	return st.srv.now().Sub(st.versionChangedAt) < st.srv.opts.NewVersionWait
}

// countDelivery records the first delivery of s in the metrics.
func (st *step) countDelivery(s *sample, version int64) {
	if s.delivered {
		return // repeated after a lost response
	}
	s.delivered = true
	m := st.srv.metrics
	m.deliveredSamples.WithLabelValues(st.key.service, st.key.trainer).Inc()
	m.staleness.WithLabelValues(st.key.service).Observe(float64(version - s.result.oldestVersion()))
}
