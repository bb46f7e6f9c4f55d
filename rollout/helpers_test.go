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

// runs numbers the servers, each of which registers its own metrics.
var runs atomic.Int64

// bed is a deployment of two instances over three engines with one trainer.
type bed struct {
	*compare.Deployment
	fleet   *enginesim.Fleet
	trainer *compare.Trainer
	reg     *prometheus.Registry
	ctx     context.Context
	cancel  context.CancelFunc
	via     int // the instance that the trainer calls
}

func service() contract.Service {
	return contract.Service{
		Name: "fry-lm", Kind: machine.Sampler, Calls: []contract.Call{{Name: "generate", Priority: contract.Staff}},
		Trainers: []contract.Trainer{{Name: "main", Share: 1}},
		Rollout:  &contract.RolloutTerms{MaxVersionLag: 1, IdleWeight: 1, MaxSwappingFraction: 0.5},
	}
}

func newBed(t *testing.T, svc contract.Service, adjust func(*rollout.Options)) *bed {
	t.Helper()
	b := &bed{fleet: enginesim.NewFleet(), reg: prometheus.NewRegistry()}
	for i := range 3 {
		b.fleet.Add(enginesim.Options{ID: fmt.Sprintf("s%d", i), Version: 1, TokenRate: 4000, Chunk: time.Millisecond})
	}
	b.Deployment = compare.New(compare.Config{
		Fleet: b.fleet, Service: svc, Instances: 2, PerEngine: 8,
		Adjust: func(o *rollout.Options) {
			o.ProgressTimeout, o.FirstTokenTimeout = 150*time.Millisecond, time.Second
			o.MonitorPeriod, o.OpenGrace, o.RetryPause = 5*time.Millisecond, 20*time.Millisecond, 5*time.Millisecond
			o.Registerer = prometheus.WrapRegistererWith(prometheus.Labels{"run": fmt.Sprint(runs.Add(1))}, b.reg)
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
		Do: func(r *http.Request) (*http.Response, error) { return b.Do(b.via, r) },
	}
	b.via = b.OwnerOf("main")
	return b
}

func groups(n, samples, maxTokens int) rollout.OpenRequest {
	req := rollout.OpenRequest{Version: 1}
	for i := range n {
		req.Groups = append(req.Groups, rollout.Group{
			ID: fmt.Sprintf("g%d", i), Prompt: fmt.Sprintf("fry line %d", i), PrefixID: fmt.Sprintf("p%d", i),
			Samples: samples, MaxTokens: maxTokens, Seed: int64(100 * i),
		})
	}
	return req
}

func (b *bed) begin(is *is.I, step int64, req rollout.OpenRequest) {
	is.Helper()
	b.trainer.Begin(step, req)
	is.NoErr(b.trainer.Reopen(b.ctx))
}

// whole completes the step and checks the trainer's ledger.
func (b *bed) whole(is *is.I, samples int) {
	is.Helper()
	is.NoErr(b.trainer.Complete(b.ctx, 100*time.Millisecond))
	is.Equal(b.trainer.Count(), samples)
	is.Equal(b.trainer.Ledger().Violations, nil)
}

// metric sums a counter over its label sets that contain value.
func (b *bed) metric(name, value string) float64 {
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

// until polls cond, which some event of the deployment makes true.
func (b *bed) until(is *is.I, cond func() bool) {
	is.Helper()
	for !cond() {
		is.NoErr(b.ctx.Err())
		time.Sleep(time.Millisecond)
	}
}

func code(err error) rollout.Code {
	if r, ok := err.(*compare.Refusal); ok {
		return r.Code
	}
	return ""
}

// takeNow takes without waiting.
func (b *bed) takeNow() error {
	_, err := b.trainer.Take(b.ctx, 0, 0, false)
	return err
}
