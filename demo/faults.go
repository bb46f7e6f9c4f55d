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

// Fault is the name of a fault.
type Fault string

// Faults of the demonstration.
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

func joinFaults() string {
	names := []string{"all"}
	for _, f := range Faults() {
		names = append(names, string(f))
	}
	return strings.Join(names, ", ")
}

// Strengths of the faults.
const (
	slowFactor      = 1.0 / 3
	slowLog         = 300 * time.Millisecond
	slowStore       = 1 << 20 // bytes per second
	lostAppends     = 5
	failedSwaps     = 2
	everyNth        = 5 // a faulty plain server fails each fifth request
	trainerDownFor  = 700 * time.Millisecond
	wakeUpFactor    = 50
	wakeUpFor       = time.Second
	leavingTarget   = 3 * time.Second
	leavingAtLeast  = 5 * time.Second
	scheduleFrom    = 0.15 // of the duration
	scheduleTo      = 0.55
	scheduleLength  = 0.2
	minFaultLength  = 1500 * time.Millisecond
	staleGhostID    = "ghost-entry"
	staleGhostAddr  = "127.0.0.1:1"
	stopFaultsAfter = 25 * time.Second
)

// schedule injects the faults of a run.
type schedule struct {
	r   *run
	log *log.Logger

	mu       sync.Mutex
	injected []Injected
	windows  []window // of faults that may delay notes
	broken   []Promise
}

type window struct{ from, to time.Time }

// run injects every fault once, at a time drawn from the seed, and undoes it.
func (s *schedule) run(ctx context.Context) {
	rng := rand.New(rand.NewPCG(s.r.opts.Seed, 40))
	var wg conc.WaitGroup
	defer wg.Wait()
	d := s.r.opts.Duration.Seconds()
	for _, f := range s.r.opts.Faults {
		at := time.Duration((scheduleFrom + rng.Float64()*(scheduleTo-scheduleFrom)) * d * float64(time.Second))
		length := max(minFaultLength, time.Duration(scheduleLength*d*float64(time.Second)))
		own := rand.New(rand.NewPCG(rng.Uint64(), 41))
		wg.Go(func() {
			if timing.Sleep(ctx, at) {
				s.inject(ctx, f, length, own)
			}
		})
	}
}

// inject begins a fault, waits, and ends it, also when the run ends first.
func (s *schedule) inject(ctx context.Context, f Fault, length time.Duration, rng *rand.Rand) {
	if f == BackendLeaving {
		length = max(length, leavingAtLeast)
	}
	from := time.Now()
	s.mu.Lock()
	k := -1
	if delaysNotes(f) {
		k = len(s.windows)
		s.windows = append(s.windows, window{from: from, to: from.Add(length)})
	}
	s.mu.Unlock()
	s.log.Info("fault begins", "fault", f)
	target, undo := s.begin(ctx, f, rng)
	timing.Sleep(ctx, length)
	undo()
	to := time.Now()
	s.log.Info("fault ends", "fault", f, "target", target)
	s.mu.Lock()
	defer s.mu.Unlock()
	if k >= 0 {
		s.windows[k].to = to
	}
	s.injected = append(s.injected, Injected{
		Name: f, Target: target, FromS: round(from.Sub(s.r.began).Seconds()), ToS: round(to.Sub(s.r.began).Seconds()),
	})
}

// delaysNotes reports whether a note may be in force late because of the fault: the design
// page lets notes wait for the log and for the link between regions.
func delaysNotes(f Fault) bool {
	return slices.Contains([]Fault{LogOutage, RegionCut, LogSlow}, f)
}

// delayed returns the end of the last fault that may have delayed a note accepted at t.
func (s *schedule) delayed(t time.Time) time.Time {
	s.mu.Lock()
	defer s.mu.Unlock()
	var end time.Time
	for _, w := range s.windows {
		if w.to.After(t) && w.to.After(end) {
			end = w.to
		}
	}
	return end
}

func (s *schedule) begin(ctx context.Context, f Fault, rng *rand.Rand) (target string, undo func()) {
	st := s.r.st
	switch f {
	case EngineCrash, EngineSlow, EngineSilent, SwapFails:
		return s.engineFault(f, rng)
	case PlainCrash, PlainSilent, PlainTruncated, PlainCrossed:
		return s.plainFault(f, rng)
	case LogOutage:
		st.log.SetOutage(true)
		return "log", func() { st.log.SetOutage(false) }
	case LogAnswerLost:
		st.log.LoseAnswers(lostAppends)
		return "log", func() { st.log.LoseAnswers(0) }
	case LogSlow:
		st.log.SetExtraLatency(slowLog)
		return "log", func() { st.log.SetExtraLatency(0) }
	case StoreDown:
		st.store.SetDown(true)
		return "store", func() { st.store.SetDown(false) }
	case StoreSlow:
		st.store.SetRate(slowStore)
		return "store", func() { st.store.SetRate(0) }
	case InstanceKill, InstanceDrain:
		return s.instanceFault(ctx, f, rng)
	case BackendLeaving:
		return s.leaving(rng)
	case RegionCut:
		s.r.net.setCut(true)
		return "link", func() { s.r.net.setCut(false) }
	case TrainerDies:
		waitUntil(ctx, 10*time.Millisecond, func() bool { return s.r.trainer.Crash(trainerDownFor) })
		return s.r.d.trainer, func() {}
	case ListStale:
		// An entry of an instance that is long gone, in a list that does not change any more.
		st.list.SetNow(platform.Listed{
			ID: staleGhostID, Kind: "entry", PeerAddr: staleGhostAddr, HTTPAddr: staleGhostAddr, Zone: s.r.d.zones[0], State: platform.Live,
		})
		st.list.Freeze(true)
		return "list", func() { st.list.Freeze(false); st.list.Remove(staleGhostID) }
	case OperatorsRace:
		s.r.operators.race(ctx, rng.Uint64())
		return "notes", func() {}
	case WakeUp:
		for _, g := range s.r.groups {
			g.Burst(wakeUpFactor, wakeUpFor)
		}
		return "staff", func() {}
	}
	return "", func() {}
}

func (s *schedule) engineFault(f Fault, rng *rand.Rand) (string, func()) {
	service := s.r.d.trained
	if f != SwapFails && rng.IntN(4) == 0 {
		service = s.r.d.staff
	}
	i := rng.IntN(len(s.r.st.engines[service]))
	e, id := s.r.st.engines[service][i], s.r.st.backends[service][i].ID
	switch f {
	case EngineCrash:
		e.Crash()
		return id, func() {
			if err := e.Restart(); err != nil {
				s.log.Error("restart of an engine", "engine", id, "err", err)
			}
		}
	case EngineSlow:
		e.SetSpeedFactor(slowFactor)
		return id, func() { e.SetSpeedFactor(1) }
	case EngineSilent:
		e.SetSilent(true)
		return id, func() { e.SetSilent(false) }
	default:
		other := s.r.st.engines[service][(i+1)%len(s.r.st.engines[service])]
		e.FailSwaps(failedSwaps)
		other.LoseSwapAnswers(1)
		return id, func() { e.FailSwaps(0); other.LoseSwapAnswers(0) }
	}
}

func (s *schedule) plainFault(f Fault, rng *rand.Rand) (string, func()) {
	service := s.r.d.desk
	if rng.IntN(2) == 0 {
		service = s.r.d.books
	}
	i := rng.IntN(len(s.r.st.plains[service]))
	p, id := s.r.st.plains[service][i], s.r.st.backends[service][i].ID
	switch f {
	case PlainCrash:
		p.InjectEvery(plain.CrashAfter, -1, everyNth)
	case PlainTruncated:
		p.InjectEvery(plain.Truncated, -1, everyNth)
	case PlainCrossed:
		p.InjectEvery(plain.Crossed, -1, everyNth)
	default:
		p.SetSilent(true)
		return id, func() { p.SetSilent(false) }
	}
	return id, p.Clear
}

// instanceFault ends an instance and starts a replacement.
func (s *schedule) instanceFault(ctx context.Context, f Fault, rng *rand.Rand) (string, func()) {
	var up []*member
	for _, m := range s.r.cluster.members {
		if m.is(running) {
			up = append(up, m)
		}
	}
	if len(up) == 0 {
		return "none", func() {}
	}
	m := up[rng.IntN(len(up))]
	if f == InstanceKill {
		s.r.cluster.kill(m)
		timing.Sleep(ctx, replaceAfter)
	} else if err := s.r.cluster.drain(context.WithoutCancel(ctx), m); err != nil {
		s.fail("P8", fmt.Sprintf("the planned stop of %s did not end: %v", m.id, err))
	}
	if ctx.Err() == nil {
		if err := s.r.cluster.start(ctx, m); err != nil {
			s.log.Error("replacement of an instance", "instance", m.id, "err", err)
		}
	}
	return m.id, func() {}
}

// leaving makes one sampler and one plain server leave, and checks that neither is asked any
// more once the target time has passed.
func (s *schedule) leaving(rng *rand.Rand) (string, func()) {
	st := s.r.st
	i, k := rng.IntN(trainedSamplers), rng.IntN(plainServers)
	e, p := st.engines[s.r.d.trained][i], st.plains[s.r.d.desk][k]
	eb, pb := st.backends[s.r.d.trained][i], st.backends[s.r.d.desk][k]
	from := time.Now()
	st.list.Set(listed(eb, platform.Leaving))
	st.list.Set(listed(pb, platform.Leaving))
	e.SetLeaving(true)
	p.SetLeaving(true)
	return eb.ID + " " + pb.ID, func() {
		s.checkLeft(e, p, from.Add(leavingTarget))
		e.SetLeaving(false)
		p.SetLeaving(false)
		st.list.Set(listed(eb, platform.Live))
		st.list.Set(listed(pb, platform.Live))
	}
}

func (s *schedule) checkLeft(e *engine.Server, p *plain.Server, after time.Time) {
	if n := e.Ledger().RefusedAfter(after); n > 0 {
		s.fail("P7", fmt.Sprintf("a leaving sampler was sent %d generations more than %s after it began to leave", n, leavingTarget))
	}
	if n := p.Ledger().RefusedAfter(after); n > 0 {
		s.fail("P7", fmt.Sprintf("a leaving plain server was sent %d requests more than %s after it began to leave", n, leavingTarget))
	}
}

func (s *schedule) fail(promise, what string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.broken = append(s.broken, Promise{Promise: promise, What: what})
}

func (s *schedule) result() ([]Injected, []Promise) {
	s.mu.Lock()
	defer s.mu.Unlock()
	slices.SortFunc(s.injected, func(a, b Injected) int { return int(1000 * (a.FromS - b.FromS)) })
	return s.injected, s.broken
}
