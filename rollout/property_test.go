package rollout_test

import (
	"cmp"
	"context"
	"flag"
	"fmt"
	"net/http"
	"os"
	"testing"
	"time"

	"go.uber.org/goleak"
	"pgregory.net/rapid"

	"github.com/cicadasill/cicadasill/rollout"
	"github.com/cicadasill/cicadasill/rollout/compare"
	"github.com/cicadasill/cicadasill/rollout/enginesim"
)

// TestMain sets the seed of the property test and guards against goroutines that outlive Run.
func TestMain(m *testing.M) {
	seed := cmp.Or(os.Getenv("CICADASILL_SEED"), "1")
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": seed, "rapid.checks": "40", "rapid.nofailfile": "true"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	fmt.Println("seed:", seed)
	goleak.VerifyTestMain(m)
}

// faultRun is a random sequence of actions and faults during one step.
type faultRun struct {
	*compare.Deployment
	fleet      *enginesim.Fleet
	trainer    *compare.Trainer
	checkpoint rollout.Bitmap
	target     int
	version    int64
	ctx        context.Context
}

// Guards against any sequence of lost answers, owner changes, trainer restarts, swaps and engine
// crashes after which a sample is missing, delivered twice, too old or wrongly attributed.
func TestAnySequenceDeliversExactlyOnce(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
		defer cancel()
		w := newFaultRun(ctx)
		defer w.Close()
		for range rapid.IntRange(3, 15).Draw(rt, "ops") {
			w.apply(rapid.SampledFrom(actions).Draw(rt, "action"), rapid.IntRange(0, 2).Draw(rt, "which"))
		}
		w.clearFaults()
		if err := w.trainer.Complete(ctx, 50*time.Millisecond); err != nil {
			rt.Fatal(err)
		}
		if v := w.trainer.Ledger().Violations; len(v) > 0 {
			rt.Fatal(v)
		}
	})
}

func newFaultRun(ctx context.Context) *faultRun {
	w := &faultRun{fleet: enginesim.NewFleet(), version: 1, ctx: ctx}
	for i := range 3 {
		w.fleet.Add(enginesim.Options{ID: fmt.Sprintf("s%d", i), Version: 1, TokenRate: 8000, EventInterval: time.Millisecond})
	}
	w.Deployment = compare.New(compare.Config{
		Fleet: w.fleet, Service: testService(), Instances: 3, MaxPerEngine: 6,
		Adjust: func(o *rollout.Options) {
			o.EventTimeout, o.FirstEventTimeout = 60*time.Millisecond, 200*time.Millisecond
			o.MonitorInterval, o.OpenGrace, o.MinRetryBackoff = 3*time.Millisecond, 5*time.Millisecond, 2*time.Millisecond
		},
	})
	w.trainer = &compare.Trainer{Service: "fry-lm", Name: "main", Version: 1, MaxLag: 1,
		Do: func(r *http.Request) (*http.Response, error) { return w.Do(w.target, r) }}
	w.trainer.SetStep(1, openRequest(5, 4, 60))
	w.checkpoint = w.trainer.Checkpoint()
	_ = w.trainer.Reopen(ctx) // a failure shows at the first take
	return w
}

var actions = []string{
	"take", "take", "take", "lost take", "reopen", "other instance", "kill owner", "revive", "split views",
	"checkpoint", "restore", "swap one", "train", "crash engine", "restart engine", "silence engine", "cut link",
}

// apply runs an action; n selects the engine or instance that it affects.
func (w *faultRun) apply(action string, n int) {
	e := w.fleet.Engine(fmt.Sprintf("s%d", n))
	switch action {
	case "take", "lost take":
		// The trainer must tolerate refusals; the ledger is checked at the end.
		_, _ = w.trainer.Take(w.ctx, 20*time.Millisecond, 4, action == "lost take")
	case "reopen":
		_ = w.trainer.Reopen(w.ctx)
	case "other instance":
		w.target = n
	case "kill owner":
		if owner := w.OwnerOf("main"); owner >= 0 {
			w.Kill(owner)
		}
	case "revive":
		w.Start(n)
	case "split views":
		w.SetView(n, []int{n})
	case "checkpoint":
		w.checkpoint = w.trainer.Checkpoint()
	case "restore":
		w.trainer.Restore(w.checkpoint)
	case "swap one":
		e.SetVersion(w.version)
	case "train":
		w.version++
		w.Announce(w.version)
		w.trainer.Version = w.version
		e.SetVersion(w.version)
	case "crash engine":
		e.Crash()
	case "restart engine":
		e.Crash()
		e.Restart(1)
	case "silence engine":
		e.SetSilent(true)
	case "cut link":
		w.SetLinkCut(n, (n+1)%3, true)
	}
}

// clearFaults ends every fault, after which the step must complete.
func (w *faultRun) clearFaults() {
	for i := range 3 {
		w.SetView(i, nil)
		w.SetLinkCut(i, (i+1)%3, false)
		w.Start(i)
		e := w.fleet.Engine(fmt.Sprintf("s%d", i))
		e.Crash()
		e.Restart(w.version)
	}
}
