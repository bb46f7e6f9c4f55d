package weights

import (
	"context"
	"io"
	"time"

	"github.com/charmbracelet/log"
	"github.com/sourcegraph/conc"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/timing"
)

// releaseTimeout bounds giving back a lease at shutdown.
const releaseTimeout = 2 * time.Second

// Distributor announces versions and distributes them while it holds the lease.
type Distributor struct {
	opts    Options
	log     *log.Logger
	metrics *metrics
}

// New returns a Distributor.
func New(opts Options) *Distributor {
	opts = opts.withDefaults()
	logger := opts.Logger
	if logger == nil {
		logger = log.New(io.Discard)
	}
	return &Distributor{opts: opts, log: logger, metrics: newMetrics(opts.Registerer)}
}

// Duty returns the lease under which samplers of service are ordered.
func Duty(service string) string { return "orders/" + service }

// Run campaigns for the lease of each service that has samplers and an announced version. It
// returns when ctx ends and every order in flight has ended.
func (d *Distributor) Run(ctx context.Context) error {
	var wg conc.WaitGroup
	defer wg.Wait()
	running := make(map[string]context.CancelFunc)
	for {
		changed := d.opts.Directory.Changed()
		wanted := make(map[string]bool)
		for _, svc := range d.opts.Directory.Services() {
			if svc.Kind != machine.Sampler || d.opts.Directory.Newest(svc.Name) == 0 {
				continue
			}
			wanted[svc.Name] = true
			if running[svc.Name] == nil {
				sctx, cancel := context.WithCancel(ctx)
				running[svc.Name] = cancel
				name := svc.Name
				wg.Go(func() { d.hold(sctx, name) })
			}
		}
		for name, cancel := range running {
			if !wanted[name] {
				cancel()
				delete(running, name)
			}
		}
		select {
		case <-ctx.Done():
			for _, cancel := range running {
				cancel()
			}
			return nil
		case <-changed:
		}
	}
}

// hold campaigns for the lease of service and distributes while it is held.
func (d *Distributor) hold(ctx context.Context, service string) {
	for ctx.Err() == nil {
		held, err := d.opts.Campaign(ctx, Duty(service))
		if err != nil {
			d.log.Debug("campaign failed", "duty", Duty(service), "err", err)
			timing.Sleep(ctx, d.opts.RetryPause)
			continue
		}
		d.log.Info("orders lease held", "service", service, "fence", held.Fence())
		d.distribute(ctx, service, held)
		d.release(held)
	}
}

// release gives the lease back. A lease that cannot be released lapses by itself.
func (d *Distributor) release(held Held) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := held.Release(ctx); err != nil {
		d.log.Debug("lease not released", "err", err)
	}
}

// distribute drives the samplers until the lease is lost or ctx ends.
func (d *Distributor) distribute(ctx context.Context, service string, held Held) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dr := newDriver(d, service, held)
	defer dr.end()
	ticker := time.NewTicker(d.opts.SweepPeriod)
	defer ticker.Stop()
	sweep := true
	for {
		changed := d.opts.Directory.Changed()
		svc, ok := d.opts.Directory.Service(service)
		if !ok {
			return
		}
		if sweep {
			dr.sweep(ctx, svc)
		}
		retry := dr.assign(ctx, svc)
		sweep = dr.wait(ctx, held, changed, ticker.C, retry)
		if ctx.Err() != nil || lost(held) {
			return
		}
	}
}

func lost(held Held) bool {
	select {
	case <-held.Lost():
		return true
	default:
		return false
	}
}

// swapLimit returns how many samplers of svc may swap at once.
func swapLimit(svc *contract.Service) int {
	fraction := 1.0
	if svc.Rollout != nil {
		fraction = svc.Rollout.MaxSwappingFraction
	}
	return max(1, int(fraction*float64(len(svc.Backends))))
}
