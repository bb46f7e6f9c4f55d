package rollout_test

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/rollout"
	"github.com/cicadasill/cicadasill/rollout/compare"
	"github.com/cicadasill/cicadasill/rollout/enginesim"
)

const testTimeout = 30 * time.Second

// serverCount numbers the servers, so that each registers its metrics under a label of its own.
var serverCount atomic.Int64

// testbed is a deployment of two instances and three engines with one trainer.
type testbed struct {
	*compare.Deployment
	fleet   *enginesim.Fleet
	trainer *compare.Trainer
	reg     *prometheus.Registry
	ctx     context.Context
	cancel  context.CancelFunc
	target  int // the instance that the trainer calls
}

// testService returns a contract with one trainer, MaxVersionLag 1 and IdleWeight 1.
func testService() contract.Service {
	return contract.Service{
		Name: "fry-lm", Kind: machine.Sampler, Calls: []contract.Call{{Name: "generate", Priority: contract.Staff}},
		Trainers: []contract.Trainer{{Name: "main", Share: 1}},
		Rollout:  &contract.RolloutTerms{MaxVersionLag: 1, IdleWeight: 1, MaxSwappingFraction: 0.5},
	}
}

// newTestbed starts a deployment for svc; adjust may change the options of its servers.
func newTestbed(t *testing.T, svc contract.Service, adjust func(*rollout.Options)) *testbed {
	t.Helper()
	b := &testbed{fleet: enginesim.NewFleet(), reg: prometheus.NewRegistry()}
	for i := range 3 {
		b.fleet.Add(enginesim.Options{ID: fmt.Sprintf("s%d", i), Version: 1, TokenRate: 4000, EventInterval: time.Millisecond})
	}
	b.Deployment = compare.New(compare.Config{
		Fleet: b.fleet, Service: svc, Instances: 2, MaxPerEngine: 8,
		Adjust: func(o *rollout.Options) {
			o.EventTimeout, o.FirstEventTimeout = 150*time.Millisecond, time.Second
			o.MonitorInterval, o.OpenGrace, o.MinRetryBackoff = 5*time.Millisecond, 20*time.Millisecond, 5*time.Millisecond
			o.Registerer = prometheus.WrapRegistererWith(prometheus.Labels{"run": fmt.Sprint(serverCount.Add(1))}, b.reg)
			if adjust != nil {
				adjust(o)
			}
		},
	})
	t.Cleanup(b.Close)
	ctx, cancel := context.WithTimeout(context.Background(), testTimeout)
	t.Cleanup(cancel)
	b.ctx, b.cancel = ctx, cancel
	b.trainer = &compare.Trainer{
		Service: svc.Name, Name: "main", Version: 1, MaxLag: svc.Rollout.MaxVersionLag,
		Do: func(r *http.Request) (*http.Response, error) { return b.Do(b.target, r) },
	}
	b.target = b.OwnerOf("main")
	return b
}

// openRequest returns a request for n groups, each with its own prompt and prefix.
func openRequest(n, samples, maxTokens int) rollout.OpenRequest {
	req := rollout.OpenRequest{Version: 1}
	for i := range n {
		req.Groups = append(req.Groups, rollout.Group{
			ID: fmt.Sprintf("g%d", i), Prompt: fmt.Sprintf("fry line %d", i), PrefixID: fmt.Sprintf("p%d", i),
			Samples: samples, MaxTokens: maxTokens, Seed: int64(100 * i),
		})
	}
	return req
}

// openStep opens the step as the trainer's current step.
func (b *testbed) openStep(is *is.I, step int64, req rollout.OpenRequest) {
	is.Helper()
	b.trainer.SetStep(step, req)
	is.NoErr(b.trainer.Reopen(b.ctx))
}

// completeStep takes until the step is complete and checks the number of samples and the trainer's
// ledger.
func (b *testbed) completeStep(is *is.I, samples int) {
	is.Helper()
	is.NoErr(b.trainer.Complete(b.ctx, 100*time.Millisecond))
	is.Equal(b.trainer.Received(), samples)
	is.Equal(b.trainer.Ledger().Violations, nil)
}

// counterSum sums a counter over its label sets that contain value, over all of them if value is empty.
func (b *testbed) counterSum(name, value string) float64 {
	families, _ := b.reg.Gather()
	sum := 0.0
	for _, f := range families {
		if f.GetName() != "cicadasill_rollout_"+name {
			continue
		}
		for _, m := range f.GetMetric() {
			matched := value == ""
			for _, l := range m.GetLabel() {
				matched = matched || l.GetValue() == value
			}
			if matched {
				sum += m.GetCounter().GetValue()
			}
		}
	}
	return sum
}

// waitFor polls cond until it is true, and fails the test when the context ends first.
func (b *testbed) waitFor(is *is.I, cond func() bool) {
	is.Helper()
	for !cond() {
		is.NoErr(b.ctx.Err())
		time.Sleep(time.Millisecond)
	}
}

// errorCode returns the code of a refusal, "" for other errors and nil.
func errorCode(err error) rollout.Code {
	if r, ok := err.(*compare.Refusal); ok {
		return r.Code
	}
	return ""
}

// takeNow sends a take that does not wait.
func (b *testbed) takeNow() error {
	_, err := b.trainer.Take(b.ctx, 0, 0, false)
	return err
}
