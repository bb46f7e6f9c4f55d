package entry

import (
	"context"
	"net/http"
	"sync"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/feed"
	"github.com/cicadasill/cicadasill/gateway"
	"github.com/cicadasill/cicadasill/health"
	"github.com/cicadasill/cicadasill/lease"
	"github.com/cicadasill/cicadasill/link"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/rollout"
	"github.com/cicadasill/cicadasill/routing"
	"github.com/cicadasill/cicadasill/weights"
)

// directory implements the service and version look-ups of packages rollout and weights. It reads
// the state that the feed has built from the control stream.
type directory struct{ feed feed.Feed }

var (
	_ rollout.Directory = directory{}
	_ weights.Directory = directory{}
)

// Service returns the contract of a service.
func (d directory) Service(name string) (*contract.Service, bool) {
	return d.feed.State().Catalog.Service(name)
}

// Services returns all contracts.
func (d directory) Services() []*contract.Service { return d.feed.State().Catalog.Services() }

// Newest returns the newest announced version of a service that is not withdrawn, or 0 if there is
// none.
func (d directory) Newest(service string) int64 {
	version, _ := d.feed.State().Versions.Newest(service)
	return version
}

// NewestVersion implements rollout.Directory.
func (d directory) NewestVersion(service string) int64 { return d.Newest(service) }

// Withdrawn reports whether a version of a service was withdrawn and must not be used.
func (d directory) Withdrawn(service string, version int64) bool {
	return d.feed.State().Versions.Withdrawn(service, version)
}

// Announced lists the announced versions of a service, withdrawn ones included, oldest first.
func (d directory) Announced(service string) []weights.AnnouncedVersion {
	all := d.feed.State().Versions.All(service)
	out := make([]weights.AnnouncedVersion, 0, len(all))
	for _, v := range all {
		out = append(out, weights.AnnouncedVersion{Version: v.Version, Trainer: v.Trainer, Withdrawn: v.Withdrawn})
	}
	return out
}

// Changed is closed at the next change of the state.
func (d directory) Changed() <-chan struct{} { return d.feed.Changed() }

// unfitSet holds the ids of the samplers that could not be brought to the newest version.
type unfitSet struct {
	mu  sync.Mutex
	ids map[string]bool
}

func (u *unfitSet) set(id string, unfit bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if unfit {
		u.ids[id] = true
	} else {
		delete(u.ids, id)
	}
}

func (u *unfitSet) list() []string {
	u.mu.Lock()
	defer u.mu.Unlock()
	out := make([]string, 0, len(u.ids))
	for id := range u.ids {
		out = append(out, id)
	}
	return out
}

// rolloutPicker chooses samplers for rollouts and excludes the unfit ones.
type rolloutPicker struct {
	router routing.Router
	unfit  *unfitSet
}

// Pick implements rollout.Picker.
func (p rolloutPicker) Pick(_ context.Context, req rollout.PickRequest) (rollout.Pick, error) {
	exclude := append(p.unfit.list(), req.Exclude...)
	pick, err := p.router.Pick(routing.Request{
		Service:      req.Service,
		Priority:     contract.Rollout,
		PrefixID:     req.PrefixID,
		PromptTokens: len(req.Prompt),
		MaxTokens:    req.MaxTokens,
		MinVersion:   req.MinVersion,
		Exclude:      exclude,
	})
	if err != nil {
		return rollout.Pick{}, err
	}
	return rollout.Pick{Backend: pick.Backend, Done: pick.Done}, nil
}

// campaigner returns the Campaign method of manager as a weights.CampaignFunc.
func campaigner(manager *lease.Manager) weights.CampaignFunc {
	return func(ctx context.Context, duty string) (weights.Lease, error) {
		held, err := manager.Campaign(ctx, duty)
		if err != nil {
			return nil, err
		}
		return held, nil
	}
}

// forwarder returns a function that forwards HTTP requests to a peer; the link counts their bytes
// under cause. A peer that has no state yet refuses the request without running it, which the
// function reports as a *link.Error with code Busy.
func forwarder(node *link.Node, cause link.Cause) func(context.Context, machine.Instance, *http.Request) (*http.Response, error) {
	return func(ctx context.Context, to machine.Instance, req *http.Request) (*http.Response, error) {
		resp, err := node.Forward(ctx, to, cause, req)
		if err != nil || resp.Header.Get(gateway.HeaderReason) != reasonNotReady {
			return resp, err
		}
		// The body only repeats the reason, so it is not read.
		_ = resp.Body.Close()
		return nil, &link.Error{Code: link.Busy, Op: req.URL.Path, To: to.Ref(), RemoteCode: reasonNotReady}
	}
}

// usageReportingRouter reports the service of each request to the health tracker, which polls the
// back ends of services in use.
type usageReportingRouter struct {
	router  routing.Router
	tracker *health.Tracker
}

// Pick implements routing.Router.
func (r usageReportingRouter) Pick(req routing.Request) (routing.Pick, error) {
	r.tracker.RecordDemand(req.Service.Name)
	return r.router.Pick(req)
}
