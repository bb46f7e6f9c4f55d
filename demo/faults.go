package demo

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/charmbracelet/log"
	"github.com/sourcegraph/conc"

	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/standin/engine"
	"github.com/cicadasill/cicadasill/standin/plain"
	"github.com/cicadasill/cicadasill/timing"
)

// Fault is the name of a fault that a run can inject.
type Fault string

// Faults that a run can inject.
const (
	EngineCrash    Fault = "engine-crash"
	EngineSlow     Fault = "engine-slow"
	EngineSilent   Fault = "engine-silent"
	PlainCrash     Fault = "plain-crash-after-run"
	PlainSilent    Fault = "plain-silent"
	PlainTruncated Fault = "plain-truncated"
	PlainCrossed   Fault = "plain-crossed"
	LogOutage      Fault = "log-outage"
	LogAnswerLost  Fault = "log-answer-lost"
	LogSlow        Fault = "log-slow"
	StoreDown      Fault = "store-down"
	StoreSlow      Fault = "store-slow"
	SwapFails      Fault = "swap-fails"
	InstanceKill   Fault = "instance-kill"
	InstanceDrain  Fault = "instance-drain"
	BackendLeaving Fault = "backend-leaving"
	RegionCut      Fault = "region-cut"
	TrainerDies    Fault = "trainer-dies"
	ListStale      Fault = "list-stale"
	OperatorsRace  Fault = "operators-race"
	WakeUp         Fault = "wake-up"
)

// Faults returns the names of all faults.
func Faults() []Fault {
	return []Fault{
		EngineCrash, EngineSlow, EngineSilent, PlainCrash, PlainSilent, PlainTruncated, PlainCrossed,
		LogOutage, LogAnswerLost, LogSlow, StoreDown, StoreSlow, SwapFails, InstanceKill, InstanceDrain,
		BackendLeaving, RegionCut, TrainerDies, ListStale, OperatorsRace, WakeUp,
	}
}

func faultNames() string {
	names := []string{"all"}
	for _, f := range Faults() {
		names = append(names, string(f))
	}
	return strings.Join(names, ", ")
}

// Strengths and times of the faults.
const (
	engineSlowFactor      = 1.0 / 3
	logDelay              = 300 * time.Millisecond
	slowStoreRate         = 1 << 20 // bytes per second
	lostAppendAnswers     = 5
	failedSwaps           = 2
	plainFailureInterval  = 5 // a faulty plain server fails every fifth request
	trainerDowntime       = 700 * time.Millisecond
	wakeUpFactor          = 50
	wakeUpDuration        = time.Second
	leavingTarget         = 3 * time.Second
	minLeavingLength      = 5 * time.Second
	earliestStartFraction = 0.15 // fraction of the duration, as are the next two
	latestStartFraction   = 0.55
	faultLengthFraction   = 0.2
	minFaultLength        = 1500 * time.Millisecond
	staleInstanceID       = "ghost-entry"
	staleInstanceAddr     = "127.0.0.1:1"
	stopFaultsAfter       = 25 * time.Second
)

// faultSchedule injects the faults of a run and records the promises that it sees broken.
type faultSchedule struct {
	r   *run
	log *log.Logger

	mu           sync.Mutex
	injected     []InjectedFault
	delayWindows []window // of faults that may delay release notes
	broken       []BrokenPromise
}

// window is the time during which a fault is in effect.
type window struct{ from, to time.Time }

// run injects each selected fault once, at a time drawn from the seed, and returns when all are
// undone.
func (s *faultSchedule) run(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.r.opts.Seed, 40))
	var wg conc.WaitGroup
	defer wg.Wait()
	d := s.r.opts.Duration.Seconds()
	for _, f := range s.r.opts.Faults {
		at := time.Duration((earliestStartFraction + rng.Float64()*(latestStartFraction-earliestStartFraction)) * d * float64(time.Second))
		length := max(minFaultLength, time.Duration(faultLengthFraction*d*float64(time.Second)))
		faultRNG := rand.New(rand.NewPCG(rng.Uint64(), 41))
		wg.Go(func() {
			if timing.Sleep(ctx, at) {
				s.inject(ctx, f, length, faultRNG)
			}
		})
	}
}

// inject applies a fault, waits for length and undoes the fault, also when ctx ends first.
func (s *faultSchedule) inject(ctx context.Context, f Fault, length time.Duration, rng *rand.Rand) {
	if f == BackendLeaving {
		length = max(length, minLeavingLength)
	}
	from := time.Now()
	s.mu.Lock()
	windowIndex := -1
	if delaysNotes(f) {
		windowIndex = len(s.delayWindows)
		s.delayWindows = append(s.delayWindows, window{from: from, to: from.Add(length)})
	}
	s.mu.Unlock()
	s.log.Info("fault begins", "fault", f)
	target, undo := s.apply(ctx, f, rng)
	timing.Sleep(ctx, length)
	undo()
	to := time.Now()
	s.log.Info("fault ends", "fault", f, "target", target)
	s.mu.Lock()
	defer s.mu.Unlock()
	if windowIndex >= 0 {
		s.delayWindows[windowIndex].to = to
	}
	s.injected = append(s.injected, InjectedFault{
		Name: f, Target: target, FromS: round(from.Sub(s.r.loadStart).Seconds()), ToS: round(to.Sub(s.r.loadStart).Seconds()),
	})
}

// delaysNotes reports whether a release note may come into force late because of the fault: the
// design page allows notes to wait for the log and for the link between regions.
func delaysNotes(f Fault) bool {
	return slices.Contains([]Fault{LogOutage, RegionCut, LogSlow}, f)
}

// delayEnd returns the end of the last fault that may have delayed a note accepted at t, or the
// zero time if there is none.
func (s *faultSchedule) delayEnd(t time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	var end time.Time
	for _, w := range s.delayWindows {
		if w.to.After(t) && w.to.After(end) {
			end = w.to
		}
	}
	return end
}

// apply applies a fault. It returns the fault's target and a function that undoes the fault.
func (s *faultSchedule) apply(ctx context.Context, f Fault, rng *rand.Rand) (target string, undo func()) {
	st := s.r.standIns
	switch f {
	case EngineCrash, EngineSlow, EngineSilent, SwapFails:
		return s.engineFault(f, rng)
	case PlainCrash, PlainSilent, PlainTruncated, PlainCrossed:
		return s.plainFault(f, rng)
	case LogOutage:
		st.log.SetOutage(true)
		return "log", func() { st.log.SetOutage(false) }
	case LogAnswerLost:
		st.log.LoseAnswers(lostAppendAnswers)
		return "log", func() { st.log.LoseAnswers(0) }
	case LogSlow:
		st.log.SetExtraLatency(logDelay)
		return "log", func() { st.log.SetExtraLatency(0) }
	case StoreDown:
		st.store.SetDown(true)
		return "store", func() { st.store.SetDown(false) }
	case StoreSlow:
		st.store.SetRate(slowStoreRate)
		return "store", func() { st.store.SetRate(0) }
	case InstanceKill, InstanceDrain:
		return s.instanceFault(ctx, f, rng)
	case BackendLeaving:
		return s.startLeaving(rng)
	case RegionCut:
		s.r.net.setRegionCut(true)
		return "link", func() { s.r.net.setRegionCut(false) }
	case TrainerDies:
		waitUntil(ctx, 10*time.Millisecond, func() bool { return s.r.trainer.Crash(trainerDowntime) })
		return s.r.deployment.trainer, func() {}
	case ListStale:
		// The list keeps an instance that no longer exists, and stops changing.
		st.list.SetNow(platform.Listed{
			ID: staleInstanceID, Kind: "entry", PeerAddr: staleInstanceAddr, HTTPAddr: staleInstanceAddr, Zone: s.r.deployment.zones[0], State: platform.Live,
		})
		st.list.Freeze(true)
		return "list", func() { st.list.Freeze(false); st.list.Remove(staleInstanceID) }
	case OperatorsRace:
		s.r.operators.race(ctx, rng.Uint64())
		return "notes", func() {}
	case WakeUp:
		for _, g := range s.r.groups {
			g.Burst(wakeUpFactor, wakeUpDuration)
		}
		return "staff", func() {}
	}
	return "", func() {}
}

// engineFault applies a fault to a random engine. SwapFails also makes the next engine lose the
// answer to one swap.
func (s *faultSchedule) engineFault(f Fault, rng *rand.Rand) (string, func()) {
	service := s.r.deployment.trainedService
	if f != SwapFails && rng.IntN(4) == 0 {
		service = s.r.deployment.staffService
	}
	i := rng.IntN(len(s.r.standIns.engines[service]))
	e, id := s.r.standIns.engines[service][i], s.r.standIns.backends[service][i].ID
	switch f {
	case EngineCrash:
		e.Crash()
		return id, func() {
			if err := e.Restart(); err != nil {
				s.log.Error("engine restart failed", "engine", id, "err", err)
			}
		}
	case EngineSlow:
		e.SetSpeedFactor(engineSlowFactor)
		return id, func() { e.SetSpeedFactor(1) }
	case EngineSilent:
		e.SetSilent(true)
		return id, func() { e.SetSilent(false) }
	default:
		other := s.r.standIns.engines[service][(i+1)%len(s.r.standIns.engines[service])]
		e.FailSwaps(failedSwaps)
		other.LoseSwapAnswers(1)
		return id, func() { e.FailSwaps(0); other.LoseSwapAnswers(0) }
	}
}

// plainFault applies a fault to a random plain server.
func (s *faultSchedule) plainFault(f Fault, rng *rand.Rand) (string, func()) {
	service := s.r.deployment.bookingService
	if rng.IntN(2) == 0 {
		service = s.r.deployment.askByKeyService
	}
	i := rng.IntN(len(s.r.standIns.plainServers[service]))
	p, id := s.r.standIns.plainServers[service][i], s.r.standIns.backends[service][i].ID
	switch f {
	case PlainCrash:
		p.InjectEvery(plain.CrashAfter, -1, plainFailureInterval)
	case PlainTruncated:
		p.InjectEvery(plain.Truncated, -1, plainFailureInterval)
	case PlainCrossed:
		p.InjectEvery(plain.Crossed, -1, plainFailureInterval)
	default:
		p.SetSilent(true)
		return id, func() { p.SetSilent(false) }
	}
	return id, p.Clear
}

// instanceFault kills or drains a random running instance and starts a replacement.
func (s *faultSchedule) instanceFault(ctx context.Context, f Fault, rng *rand.Rand) (string, func()) {
	var runningMembers []*member
	for _, m := range s.r.cluster.members {
		if m.hasState(running) {
			runningMembers = append(runningMembers, m)
		}
	}
	if len(runningMembers) == 0 {
		return "none", func() {}
	}
	m := runningMembers[rng.IntN(len(runningMembers))]
	if f == InstanceKill {
		s.r.cluster.kill(m)
		timing.Sleep(ctx, replaceAfter)
	} else if err := s.r.cluster.drain(context.WithoutCancel(ctx), m); err != nil {
		s.recordBroken("P8", fmt.Sprintf("the planned stop of %s did not end: %v", m.id, err))
	}
	if ctx.Err() == nil {
		if err := s.r.cluster.start(ctx, m); err != nil {
			s.log.Error("instance replacement failed", "instance", m.id, "err", err)
		}
	}
	return m.id, func() {}
}

// startLeaving marks one sampler and one plain server as leaving. The undo function checks that
// neither was sent requests after leavingTarget had passed.
func (s *faultSchedule) startLeaving(rng *rand.Rand) (string, func()) {
	st := s.r.standIns
	i, k := rng.IntN(trainedSamplerCount), rng.IntN(plainServerCount)
	e, p := st.engines[s.r.deployment.trainedService][i], st.plainServers[s.r.deployment.bookingService][k]
	eb, pb := st.backends[s.r.deployment.trainedService][i], st.backends[s.r.deployment.bookingService][k]
	from := time.Now()
	st.list.Set(listEntry(eb, platform.Leaving))
	st.list.Set(listEntry(pb, platform.Leaving))
	e.SetLeaving(true)
	p.SetLeaving(true)
	return eb.ID + " " + pb.ID, func() {
		s.checkNoRequestsAfter(e, p, from.Add(leavingTarget))
		e.SetLeaving(false)
		p.SetLeaving(false)
		st.list.Set(listEntry(eb, platform.Live))
		st.list.Set(listEntry(pb, platform.Live))
	}
}

// checkNoRequestsAfter records a breach of P7 if a leaving server had to refuse requests later than
// the given time.
func (s *faultSchedule) checkNoRequestsAfter(e *engine.Server, p *plain.Server, after time.Time) {
	if n := e.Ledger().RefusedAfter(after); n > 0 {
		s.recordBroken("P7", fmt.Sprintf("a leaving sampler was sent %d generations more than %s after it began to leave", n, leavingTarget))
	}
	if n := p.Ledger().RefusedAfter(after); n > 0 {
		s.recordBroken("P7", fmt.Sprintf("a leaving plain server was sent %d requests more than %s after it began to leave", n, leavingTarget))
	}
}

// recordBroken records a broken promise.
func (s *faultSchedule) recordBroken(promise, what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = append(s.broken, BrokenPromise{ID: promise, Description: what})
}

// result returns the injected faults in the order in which they began, and the broken promises.
func (s *faultSchedule) result() ([]InjectedFault, []BrokenPromise) {
	s.mu.Lock()
	defer s.mu.Unlock()
	slices.SortFunc(s.injected, func(a, b InjectedFault) int { return int(1000 * (a.FromS - b.FromS)) })
	return s.injected, s.broken
}
