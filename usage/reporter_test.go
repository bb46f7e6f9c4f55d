package usage_test

import (
	"context"
	"fmt"
	"maps"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/duty"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/platform/hosted"
	"github.com/cicadasill/cicadasill/platform/hosted/hostedtest"
	"github.com/cicadasill/cicadasill/telemetry"
	"github.com/cicadasill/cicadasill/timing"
	"github.com/cicadasill/cicadasill/truetime"
	"github.com/cicadasill/cicadasill/usage"
)

const (
	waitTimeout = time.Minute
	minTurn     = 3 * time.Second
)

// testWindows are short, so that a test sees many of them. Reports are due as late as in a deployment.
var testWindows = usage.Windows{Length: 500 * time.Millisecond, Due: 10 * time.Second}

// member is an instance that counts and reports.
type member struct {
	counter *usage.Counter
	duty    *duty.Duty
	// proxy is the way to the store, which can be cut.
	proxy  *hostedtest.Proxy
	cancel context.CancelFunc
	done   chan struct{}
}

// fleet is a store, a platform's API and the instances that use them.
type fleet struct {
	t     *testing.T
	store *hostedtest.Store
	api   *hostedtest.PlatformAPI

	mu    sync.Mutex // guards ended
	ended map[machine.Ref]bool
}

func newFleet(t *testing.T) *fleet {
	f := &fleet{t: t, store: hostedtest.NewStore(), api: hostedtest.NewPlatformAPI(), ended: map[machine.Ref]bool{}}
	t.Cleanup(func() { f.api.CloseClientConnections(); f.api.Close() })
	t.Cleanup(func() { f.store.CloseClientConnections(); f.store.Close() })
	return f
}

// Ended implements duty.Peers.
func (f *fleet) Ended(ref machine.Ref) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.ended[ref]
}

// Rank implements duty.Peers.
func (f *fleet) Rank(string) int { return 0 }

// start starts an instance.
func (f *fleet) start(id string) *member {
	ref := machine.Ref{ID: id, Incarnation: uint64(time.Now().UnixNano())}
	m := &member{proxy: hostedtest.NewProxy(f.store.Addr()), done: make(chan struct{})}
	f.t.Cleanup(m.proxy.Close)
	log := hosted.NewStore(hosted.StoreOptions{Addr: m.proxy.Addr(), WritesPerS: 1000, ReadsPerS: 1000})
	m.duty = duty.New("orders", ref, log, f, telemetry.Discard())
	m.duty.SetRules(duty.Rules{MinTurn: minTurn, Unfenced: true})
	api := hosted.NewPlatformAPI(f.api.Addr(), id, telemetry.Discard(), nil)
	api.CheckCalls(m.duty.Check)
	clock := truetime.NewClock(id)
	m.counter = usage.NewCounter(usage.CounterOptions{
		Self: ref, Windows: testWindows, Clock: clock, Log: log, Instances: func() int { return 1 }, Logger: telemetry.Discard(),
	})
	reporter := usage.NewReporter(usage.ReporterOptions{
		Self: ref, Windows: testWindows, Clock: clock, Log: log, Duty: m.duty, Platform: api, CallsPerS: 50, Logger: telemetry.Discard(),
	})
	var ctx context.Context
	ctx, m.cancel = context.WithCancel(context.Background())
	go func() {
		defer close(m.done)
		var tasks sync.WaitGroup
		for _, run := range []func(context.Context){m.duty.Run, m.counter.Run, reporter.Run} {
			tasks.Go(func() { run(ctx) })
		}
		tasks.Wait()
	}()
	f.t.Cleanup(m.kill)
	return m
}

// kill ends an instance without notice.
func (m *member) kill() {
	m.cancel()
	<-m.done
}

// waitUntil waits for a condition.
func (f *fleet) waitUntil(what string, condition func() bool) {
	f.t.Helper()
	for deadline := time.Now().Add(waitTimeout); time.Now().Before(deadline); time.Sleep(5 * time.Millisecond) {
		if condition() {
			return
		}
	}
	f.t.Fatalf("timed out waiting until %s", what)
}

// waitHeld waits until an instance holds the duty.
func (f *fleet) waitHeld(m *member) {
	f.t.Helper()
	f.waitUntil("the duty is held", func() bool { _, err := m.duty.Fence(); return err == nil })
}

// count counts requests of an account and returns their window.
func (m *member) count(account string, n int) int64 {
	if left := time.Until(testWindows.End(testWindows.At(time.Now()))); left < 20*time.Millisecond {
		time.Sleep(left) // the two clocks below are not read at the same moment
	}
	at := timing.SinceBoot()
	window := testWindows.At(time.Now())
	for range n {
		m.counter.RequestBegan(account, at)
	}
	return window
}

// checkReports waits until the API has a report of the current window. It checks that no rule is broken, no window since the first
// reported one is missing, and the counts of an account are those that were made in each window.
func (f *fleet) checkReports(account string, want map[int64]int64) {
	f.t.Helper()
	last := testWindows.At(time.Now())
	f.waitUntil(fmt.Sprint("window ", last, " is reported"), func() bool { _, reported := f.api.Counts()[last]; return reported })
	for _, violation := range f.api.Violations(minTurn) {
		f.t.Error(violation)
	}
	counts, got := f.api.Counts(), map[int64]int64{}
	first := last
	for window, byAccount := range counts {
		first = min(first, window)
		if n := byAccount[account]; n > 0 {
			got[window] = n
		}
	}
	for window := first; window <= last; window++ {
		if _, reported := counts[window]; !reported {
			f.t.Errorf("window %d of %d to %d is missing", window, first, last)
		}
	}
	if !maps.Equal(got, want) {
		f.t.Errorf("reported %v, counted %v", got, want)
	}
}

// Guards against a window that is reported twice with other counts, not at all or out of turn, because its holder died, or was cut
// off, between two of the steps: seal, send, mark.
func TestSuccessorRepeatsTheSameReports(t *testing.T) {
	appendsTo := func(r *http.Request, topic string) bool {
		return r.URL.Path == "/api/log-append" && strings.HasSuffix(r.URL.Query().Get("topic"), topic)
	}
	for name, tc := range map[string]struct {
		// disturb makes the step after the one in question fail, and heal ends that.
		disturb, heal func(f *fleet, first *member)
		survives      bool
	}{
		"killed at any time": {func(*fleet, *member) {}, func(*fleet, *member) {}, false},
		"killed between seal and send": {
			func(f *fleet, _ *member) {
				f.api.SetFault(func(*http.Request) hostedtest.APIFault { return hostedtest.APIReset })
			},
			func(f *fleet, _ *member) { f.api.SetFault(nil) }, false,
		},
		"killed between send and mark": {
			func(f *fleet, _ *member) {
				f.store.SetFault(func(r *http.Request) hostedtest.Fault {
					if appendsTo(r, "usage-windows") && len(f.api.Calls()) > 0 {
						return hostedtest.Busy
					}
					return hostedtest.None
				})
			},
			func(f *fleet, _ *member) { f.store.SetFault(nil) }, false,
		},
		"killed before the seal is carried out": {
			func(f *fleet, _ *member) {
				f.store.SetFault(func(r *http.Request) hostedtest.Fault {
					if appendsTo(r, "usage-windows") {
						return hostedtest.DelayAppend
					}
					return hostedtest.None
				})
			},
			func(f *fleet, _ *member) { f.store.SetFault(nil); f.store.RunDelayed() }, false,
		},
		"killed, its calls carried out later": {
			func(f *fleet, _ *member) {
				f.api.SetFault(func(*http.Request) hostedtest.APIFault { return hostedtest.APIDelay })
			},
			func(f *fleet, _ *member) {
				f.api.SetFault(nil)
				time.AfterFunc(4*time.Second, f.api.RunDelayed)
			}, false,
		},
		"cut from the store": {
			func(_ *fleet, first *member) {
				first.proxy.SilenceNew(true)
				first.proxy.Silence(hostedtest.EveryConn, hostedtest.BothDirections)
			},
			func(*fleet, *member) {}, true,
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newFleet(t)
			counting := f.start("counts-only") // may hold the duty as well
			f.waitHeld(counting)
			counting.kill()
			first := f.start("a")
			f.waitHeld(first)
			other := f.start("b")
			want := map[int64]int64{}
			tc.disturb(f, first)
			for range 8 {
				want[other.count("shop", 3)] += 3
				time.Sleep(250 * time.Millisecond)
			}
			time.Sleep(testWindows.Due * 6 / 10) // windows are sealed, if they can be
			if !tc.survives {
				first.kill()
			}
			// Counts that come too late must not change what may have been sent.
			for back := range 30 {
				other.counter.RequestBegan("late", timing.SinceBoot()-time.Duration(back)*testWindows.Length)
			}
			time.Sleep(time.Second) // they are stored
			tc.heal(f, first)
			f.waitHeld(other)
			want[other.count("shop", 5)] += 5
			f.checkReports("shop", want)
		})
	}
}

// Guards against reports that are lost, doubled with other counts or piled up while the platform's API is in trouble.
func TestReportsOutliveTroubleOfTheAPI(t *testing.T) {
	for name, fault := range map[string]hostedtest.APIFault{
		"busy": hostedtest.APITooMany, "slow": hostedtest.APISlow, "silent": hostedtest.APISilent, "resets": hostedtest.APIReset,
		"answers lost": hostedtest.APILoseAnswer, "late": hostedtest.APIDelay, "answers without end": hostedtest.APIEndless,
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			f := newFleet(t)
			f.api.SetLateness(1500 * time.Millisecond)
			m := f.start("a")
			f.waitHeld(m)
			var atOnce, most atomic.Int64
			f.api.SetFault(func(*http.Request) hostedtest.APIFault { return fault })
			f.api.Config.Handler = countConcurrent(f.api.Config.Handler, &atOnce, &most)
			want := map[int64]int64{}
			for range 16 {
				want[m.count("shop", 2)] += 2
				time.Sleep(250 * time.Millisecond)
			}
			f.waitUntil("a report is sent", func() bool { return len(f.api.Calls()) > 0 })
			time.Sleep(4 * time.Second)
			calls := len(f.api.Calls())
			f.api.SetFault(nil)
			f.api.RunDelayed()
			f.checkReports("shop", want)
			is.True(calls <= 12)            // the pauses between them grow: 0.2, 0.4, 0.8, 1.6 s
			is.Equal(most.Load(), int64(1)) // calls do not pile up
		})
	}
}

// countConcurrent counts the calls that a handler serves at once.
func countConcurrent(handler http.Handler, atOnce, most *atomic.Int64) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		n := atOnce.Add(1)
		defer atOnce.Add(-1)
		for old := most.Load(); n > old && !most.CompareAndSwap(old, n); old = most.Load() {
		}
		handler.ServeHTTP(w, r)
	})
}

// Guards against a holder that goes on with a token which the platform has refused for a higher one, and against its reports
// staying unsent.
func TestRefusedTokenIsReplaced(t *testing.T) {
	is := is.New(t)
	f := newFleet(t)
	f.api.CheckFences()
	m := f.start("a")
	f.waitHeld(m)
	fence, err := m.duty.Fence()
	is.NoErr(err)
	f.api.RaiseFence(fence + 2)
	f.waitUntil("a report is accepted", func() bool { return len(f.api.Counts()) > 0 })
	f.checkReports("shop", map[int64]int64{})
	byFence := map[int64]int{}
	for _, call := range f.api.Calls() {
		byFence[call.Fence]++
	}
	is.Equal(byFence[fence], 1)
	is.Equal(byFence[fence+1], 1)
}

// Guards against windows that are lost or sealed without the counts of others while the whole store was away.
func TestWindowsOutliveAnOutageOfTheStore(t *testing.T) {
	f := newFleet(t)
	m := f.start("a")
	f.waitHeld(m)
	other := f.start("b")
	want := map[int64]int64{m.count("shop", 1): 1}
	f.waitUntil("a report is accepted", func() bool { return len(f.api.Counts()) > 0 })
	f.store.SetFault(hostedtest.AllBusy)
	for range 10 {
		want[other.count("shop", 4)] += 4
		time.Sleep(400 * time.Millisecond)
	}
	f.store.SetFault(nil)
	f.checkReports("shop", want)
}
