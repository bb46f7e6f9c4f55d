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

// releaseTimeout bounds the release of a lease that is no longer used.
const releaseTimeout = 2 * time.Second

// Distributor records announcements of versions. For each service whose orders lease it holds, it
// also distributes the newest version to the samplers.
type Distributor struct {
	opts    Options
	log     *log.Logger
	metrics *metrics
}

// New returns a Distributor. It distributes versions only while Run runs.
func New(opts Options) *Distributor {
	opts = opts.withDefaults()
	logger := opts.Logger
	if logger == nil {
		logger = log.New(io.Discard)
	}
	return &Distributor{opts: opts, log: logger, metrics: newMetrics(opts.Registerer)}
}

// Duty returns the name of the lease whose holder sends orders to the samplers of service.
func Duty(service string) string { return "orders/" + service }

// Run campaigns for the lease of each sampler service that has an announced version, and distributes
// versions while the lease is held. It returns when ctx ends and every order in flight has ended.
func (d *Distributor) Run(ctx context.Context) error {
	var wg conc.WaitGroup
	defer wg.Wait()
	running := make(map[string]context.CancelFunc)
	for {
		changed := d.opts.Directory.Changed()
		eligible := make(map[string]bool)
		for _, svc := range d.opts.Directory.Services() {
			if svc.Kind != machine.Sampler || d.opts.Directory.Newest(svc.Name) == 0 {
				continue
			}
			eligible[svc.Name] = true
			if running[svc.Name] == nil {
				sctx, cancel := context.WithCancel(ctx)
				running[svc.Name] = cancel
				name := svc.Name
				wg.Go(func() { d.runService(sctx, name) })
			}
		}
		for name, cancel := range running {
			if !eligible[name] {
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

// runService campaigns for the lease of service and distributes versions while the lease is held.
func (d *Distributor) runService(ctx context.Context, service string) {
	for ctx.Err() == nil {
		lease, err := d.opts.Campaign(ctx, Duty(service))
		if err != nil {
			d.log.Debug("lease campaign failed", "duty", Duty(service), "err", err)
			timing.Sleep(ctx, d.opts.MinRetryBackoff)
			continue
		}
		d.log.Info("orders lease acquired", "service", service, "fence", lease.Fence())
		d.distribute(ctx, service, lease)
		d.release(lease)
	}
}

// release releases the lease. If the release fails, the lease expires after its TTL.
func (d *Distributor) release(lease Lease) {
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	if err := lease.Release(ctx); err != nil {
		d.log.Debug("lease not released", "err", err)
	}
}

// distribute sends orders to the samplers of service until the lease is lost, ctx ends or the service
// no longer exists.
func (d *Distributor) distribute(ctx context.Context, service string, lease Lease) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	sd := newServiceDistributor(d, service, lease)
	defer sd.drain()
	ticker := time.NewTicker(d.opts.SweepInterval)
	defer ticker.Stop()
	sweepDue := true
	for {
		changed := d.opts.Directory.Changed()
		svc, ok := d.opts.Directory.Service(service)
		if !ok {
			return
		}
		if sweepDue {
			sd.sweep(ctx, svc)
		}
		retryIn := sd.startOrders(ctx, svc)
		sweepDue = sd.waitForEvent(ctx, lease, changed, ticker.C, retryIn)
		if ctx.Err() != nil || isLost(lease) {
			return
		}
	}
}

func isLost(lease Lease) bool {
	select {
	case <-lease.Lost():
		return true
	default:
		return false
	}
}

// swapLimit returns the maximum number of samplers of svc that may swap at the same time.
func swapLimit(svc *contract.Service) int {
	fraction := 1.0
	if svc.Rollout != nil {
		fraction = svc.Rollout.MaxSwappingFraction
	}
	return max(1, int(fraction*float64(len(svc.Backends))))
}
