package rollout

import (
	"context"
	"time"

	"github.com/cicadasill/cicadasill/contract"
)

// take waits for samples that the trainer lacks. A newer take of the same step ends an older one
// that still waits, since the trainer has then given up on it.
func (st *step) take(ctx context.Context, svc *contract.Service, req *TakeRequest) (*TakeResponse, *Error) {
	have, err := DecodeBitmap(req.Have, len(st.samples))
	if err != nil {
		return nil, err.(*Error)
	}
	replaced := st.beginTake(have, req.Version)
	wait, drained := st.srv.waiting(time.Duration(req.WaitMs) * time.Millisecond)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	expired := false
	for {
		resp, changed, open := st.collect(svc, have, req)
		if !open {
			return nil, refuse(CodeStepNotOpen, "step %d was closed", st.key.step)
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
		case <-drained: // the trainer asks again, through another instance
			return resp, nil
		}
	}
}

// beginTake applies the trainer's bitmap and returns the channel that ends this take.
func (st *step) beginTake(have Bitmap, version int64) <-chan struct{} {
	st.mu.Lock()
	defer st.mu.Unlock()
	st.lastSeen = st.srv.now()
	if version != st.version {
		st.version, st.versionAt = version, st.lastSeen
	}
	if st.taking != nil {
		close(st.taking)
	}
	st.taking = make(chan struct{})
	for _, s := range st.samples {
		st.applyHave(s, have.Get(s.position))
	}
	st.signal()
	if !st.started {
		select {
		case <-st.start:
		default:
			close(st.start)
		}
	}
	return st.taking
}

// applyHave records whether the trainer holds s. A trainer that restarted from an older checkpoint
// lacks samples that it had before; those are delivered or generated again.
func (st *step) applyHave(s *sample, have bool) {
	s.have = have
	if !have {
		st.enqueue(s)
		return
	}
	if s.result == nil {
		// The trainer got this sample from another owner.
		st.discard(s, WasteDuplicate)
	}
}

// collect gathers deliverable samples. Finished samples beyond the age bound are started again.
func (st *step) collect(svc *contract.Service, have Bitmap, req *TakeRequest) (*TakeResponse, <-chan struct{}, bool) {
	st.mu.Lock()
	defer st.mu.Unlock()
	if st.closed {
		return nil, nil, false
	}
	st.lastSeen = st.srv.now()
	st.holding = false
	resp := &TakeResponse{Samples: []Sample{}}
	tokens := 0
	for _, s := range st.samples {
		if have.Get(s.position) {
			continue
		}
		if !st.deliverable(svc, s, req.Version) || (req.Max > 0 && len(resp.Samples) >= req.Max) || tokens >= maxTokensPerTake {
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

// deliverable checks the age of a finished sample at hand-over.
func (st *step) deliverable(svc *contract.Service, s *sample, version int64) bool {
	if s.result == nil {
		return false
	}
	lag := version - s.result.oldest()
	if lag > svc.Rollout.MaxVersionLag {
		st.restart(s, WasteTooOld)
		return false
	}
	return lag <= softLag(svc.Rollout) || !st.refresh(svc, s, version)
}

// refresh starts a sample again that is beyond the lag which the idle weight tolerates, or holds it
// while engines are still loading the newer version. It happens once to a sample, and the hold ends:
// the soft bound may cost time but not the sample.
func (st *step) refresh(svc *contract.Service, s *sample, version int64) bool {
	if s.softRestarts > 0 {
		return false
	}
	if st.newestLoaded(svc) >= version-softLag(svc.Rollout) {
		s.softRestarts++
		st.restart(s, WasteRestart)
		return true
	}
	st.holding = st.mayHold()
	return st.holding
}

// mayHold reports whether engines may still be loading the trainer's version.
func (st *step) mayHold() bool { return st.srv.now().Sub(st.versionAt) < st.srv.opts.SoftHold }

func (st *step) countDelivery(s *sample, version int64) {
	if s.delivered {
		return // repeated after a lost answer
	}
	s.delivered = true
	m := st.srv.metrics
	m.delivered.WithLabelValues(st.key.service, st.key.trainer).Inc()
	m.staleness.WithLabelValues(st.key.service).Observe(float64(version - s.result.oldest()))
}
