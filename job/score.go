package job

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/cicadasill/cicadasill/forward"
	"github.com/cicadasill/cicadasill/reward"
	"github.com/cicadasill/cicadasill/routes"
	"github.com/cicadasill/cicadasill/timing"
)

// Delays of reward calls.
const (
	// minRewardDelay and maxRewardDelay bound the delay before a failed reward call is repeated.
	minRewardDelay = 50 * time.Millisecond
	maxRewardDelay = time.Second
	// rewardCheckpointDelay is how long a complete text may wait for its score before it is stored. Most
	// calls are answered earlier, and storing each text would double the bytes written.
	rewardCheckpointDelay = 300 * time.Millisecond
)

// Requests forwards single requests to back ends.
type Requests interface {
	// Forward returns a back end's response. It fails with *forward.RefusedError if no back end has run the
	// request.
	Forward(ctx context.Context, route *routes.Route, r *forward.Request) (*forward.Response, error)
}

// groupCounter counts items by group. It is safe for concurrent use.
type groupCounter struct {
	mu     *sync.Mutex
	counts map[string]int
}

func newGroupCounter() groupCounter {
	return groupCounter{mu: new(sync.Mutex), counts: map[string]int{}}
}

func (c groupCounter) add(group string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[group]++
}

func (c groupCounter) finish(group string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.counts[group]--
}

func (c groupCounter) count(group string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.counts[group]
}

// rewardLimit returns how many reward calls this instance may have in flight at a service.
func (d *Driver) rewardLimit(service string) int {
	slots := 0
	for _, c := range d.opts.Backends.Candidates(service, "") {
		slots += c.Slots
	}
	return reward.Share(slots, int(d.drivers.Load()))
}

// score makes the reward call of an item whose text is complete, as often as needed, and returns the
// signature of its answer. The score is empty if the item is given up. done is false if ctx has ended.
func (d *Driver) score(ctx context.Context, job *activeJob, item *Item, out *partialOutput) (score string, done bool) {
	complete := out.checkpoint()
	complete.Complete = true
	store := time.AfterFunc(rewardCheckpointDelay, func() { d.opts.Registry.queueCheckpoint(&job.Summary, item.ID, complete) })
	defer store.Stop()
	completeAt := time.Now()
	calls, failedRuns := 0, 0
	for {
		place, rewardPlace, ok := d.rewardPlacements(ctx, job, item)
		if !ok {
			return "", ctx.Err() == nil
		}
		policy := reward.Policy{MinDelay: minRewardDelay, MaxDelay: maxRewardDelay, GiveUp: job.giveUpAt(place.route)}
		err := error(errNoRewardRoute)
		calls++
		if rewardRoute := rewardPlace.route; rewardRoute != nil {
			policy.Failures = max(1, place.route.Attempts, rewardRoute.Attempts)
			rewardRoute.Attempts = min(max(1, rewardRoute.Attempts), policy.Failures-failedRuns)
			var response *forward.Response
			if response, err = d.callReward(ctx, job, item, place, rewardPlace, failedRuns > 0); err == nil {
				if response.Status/100 == 2 {
					return response.Signature, true
				}
				failedRuns += response.FailedRuns
				err = &FailedError{Status: response.Status}
			}
		}
		if ctx.Err() != nil {
			return "", false
		}
		delay, again := policy.Next(time.Now(), calls, failedRuns)
		d.log.Info("reward call failed", "job", job.ID, "item", item.ID, "request", item.Reward.ID, "call", calls,
			"failed_runs", failedRuns, "complete_for", time.Since(completeAt), "again_in", delay, "given_up", !again, "err", err)
		if !again {
			return "", true
		}
		if !timing.Sleep(ctx, delay) {
			return "", false
		}
	}
}

// errNoRewardRoute reports that the configuration in force has no route for a reward call.
var errNoRewardRoute = errors.New("no route for the reward call")

// rewardPlacements returns where an item and its reward call run. The latter has no route if the configuration has none for it. It
// returns false if ctx ends or the configuration has no route for the item any more.
func (d *Driver) rewardPlacements(ctx context.Context, job *activeJob, item *Item) (place, rewardPlace placement, ok bool) {
	if place, ok = d.waitForRoute(ctx, job, item); !ok {
		return placement{}, placement{}, false
	}
	call := item.Reward
	route, found := place.config.Match(call.Host, call.Path)
	if !found {
		return place, placement{}, true
	}
	repeatable := *route
	repeatable.Kind = routes.Idempotent // reward calls may be repeated, whatever the route's other requests are
	return place, placement{
		config: place.config, host: call.Host, path: call.Path, id: call.ID, route: &repeatable, service: route.ServiceFor(call.ID),
	}, true
}

// awaitRewardTurn waits until the reward call of an item may be sent. It also fails once the configuration places the item or its call
// otherwise, or the item may be given up.
func (d *Driver) awaitRewardTurn(ctx context.Context, job *activeJob, item *Item, place, rewardPlace placement) error {
	ctx, done := d.waits.begin(ctx, job.giveUpAt(place.route), place, rewardPlace)
	defer done()
	return d.rewards.Acquire(ctx, rewardPlace.service, func() reward.Waiting {
		return reward.Waiting{StepStart: job.AcceptedAt(), GroupPending: job.pending.count(item.Group)}
	})
}

// callReward waits for its turn and makes one reward call. repeated states that a back end has failed the call before.
func (d *Driver) callReward(ctx context.Context, job *activeJob, item *Item, place, rewardPlace placement, repeated bool) (*forward.Response, error) {
	call, route, service := item.Reward, rewardPlace.route, rewardPlace.service
	start := time.Now()
	if err := d.awaitRewardTurn(ctx, job, item, place, rewardPlace); err != nil {
		return nil, err
	}
	if !d.awaitFreshIndex(ctx) {
		d.rewards.Release(service, false)
		return nil, ctx.Err()
	}
	whole, err := item.whole()
	if err != nil {
		d.rewards.Release(service, false)
		return nil, err
	}
	sent := time.Now()
	d.metrics.rewardWait.Observe(sent.Sub(start).Seconds())
	response, err := d.opts.Requests.Forward(ctx, route, &forward.Request{
		ID: call.ID, Method: http.MethodPost, Target: call.Path, Host: call.Host, Body: whole.Reward.Body, Owed: true, Repeated: repeated, Permit: d.permit(ctx),
		Deadline: reward.Deadline(sent, job.AcceptedAt().Add(place.route.RunObjective), job.giveUpAt(place.route), route.Objective, route.Timeout),
	})
	d.rewards.Release(service, err != nil && ctx.Err() == nil && !forward.IsHeldBack(err))
	d.metrics.rewardCall.Observe(time.Since(sent).Seconds())
	d.metrics.rewards.WithLabelValues(rewardOutcome(response, err)).Inc()
	return response, err
}

// rewardOutcome returns the outcome of a reward call for the metrics.
func rewardOutcome(response *forward.Response, err error) string {
	var refused *forward.RefusedError
	switch {
	case errors.As(err, &refused):
		return "refused"
	case err != nil:
		return "unknown"
	case response.Status/100 == 2:
		return "scored"
	default:
		return "failed"
	}
}
