package job

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/cicadasill/cicadasill/routes"
)

// Slots that open jobs need.
//
// Load pattern: each trainer submits a step of some hundred items every few seconds, a few of which run ten times as long as most. The
// number of engines that end all steps in time changes within seconds, and is to be known before steps are late.
//
// The queue serves the longest items of a job first (order.go). On m slots an item therefore starts after 1/m of the time of all longer ones
// at the latest, and must start by its duration before the job is due. A job needs the m with which all its items do, and no more
// slots than it has items.

// assumedDuration is the expected duration of an item while nothing is known of any.
const assumedDuration = time.Second

// dueDuration returns the expected duration of an item for the count of slots.
func (d *Driver) dueDuration(item *Item) time.Duration {
	if expected := d.durations.expectedRun(item.LengthEstimate); expected > 0 {
		return expected
	}
	if longest := d.durations.longest(); longest > 0 {
		return longest
	}
	return assumedDuration
}

// remainingDuration returns the expected remaining time of an item that has run for elapsed; 0 if it waits.
func remainingDuration(expected, elapsed time.Duration) time.Duration {
	return max(expected-elapsed, elapsed/2)
}

// slotsNeeded returns the slots on which items of the given remaining durations end within left. It sorts the durations.
func slotsNeeded(durations []time.Duration, left time.Duration) int {
	slices.SortFunc(durations, func(a, b time.Duration) int { return cmp.Compare(b, a) })
	slots := 0
	var longer time.Duration // total of the items before
	for i, d := range durations {
		needed := i + 1 // an item that can't end in time needs a slot at once
		if slack := left - d; slack > 0 {
			needed = min(needed, 1+int(longer/slack))
		}
		slots = max(slots, needed)
		longer += d
	}
	return slots
}

// progress is which items of a running job have started and ended, by their index.
type progress struct {
	mu        sync.Mutex
	startedAt map[int]time.Time
	ended     map[int]bool
}

// start records that an item has an engine.
func (p *progress) start(index int, at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.startedAt == nil {
		p.startedAt = map[int]time.Time{}
	}
	if p.startedAt[index].IsZero() {
		p.startedAt[index] = at
	}
}

// end records that an item has a result.
func (p *progress) end(index int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.ended == nil {
		p.ended = map[int]bool{}
	}
	p.ended[index] = true
}

// DueSlots is what the open jobs of an instance need of a service.
type DueSlots struct {
	// Needed is the number of slots on which the jobs end in time.
	Needed int
	// Started is the number of items that have started and have no result. They may take more slots than needed, because items start as
	// soon as there is room.
	Started int
}

// SlotsDue returns, by service, what the jobs of this instance need. It covers only the services whose back ends can be ordered, and is
// nil if there are none.
func (d *Driver) SlotsDue() map[string]DueSlots {
	config := d.opts.Config()
	if config == nil || !config.HasScaling() {
		return nil
	}
	d.mu.Lock()
	jobs := make([]*activeJob, 0, len(d.active))
	for _, job := range d.active {
		jobs = append(jobs, job)
	}
	d.mu.Unlock()
	slots := map[string]DueSlots{}
	for _, job := range jobs {
		for service, due := range d.jobSlots(config, job, time.Now()) {
			sum := slots[service]
			slots[service] = DueSlots{Needed: sum.Needed + due.Needed, Started: sum.Started + due.Started}
		}
	}
	return slots
}

// jobSlots returns what a job needs at each service whose back ends can be ordered. The route of its first item stands for all.
func (d *Driver) jobSlots(config *routes.Config, job *activeJob, now time.Time) map[string]DueSlots {
	if len(job.items) == 0 {
		return nil
	}
	route, ok := config.Match(job.Host, job.items[0].Path)
	if !ok {
		return nil
	}
	durations, started := map[string][]time.Duration{}, map[string]int{}
	job.progress.mu.Lock()
	for i := range job.items {
		service := route.ServiceFor(job.items[i].ID)
		if job.progress.ended[i] || config.Services[service].Scaling == nil {
			continue
		}
		elapsed := time.Duration(0)
		if at := job.progress.startedAt[i]; !at.IsZero() {
			elapsed = now.Sub(at)
			started[service]++
		}
		durations[service] = append(durations[service], remainingDuration(d.dueDuration(&job.items[i]), elapsed))
	}
	job.progress.mu.Unlock()
	slots := map[string]DueSlots{}
	left := job.AcceptedAt().Add(objective(route)).Sub(now)
	for service, list := range durations {
		slots[service] = DueSlots{Needed: slotsNeeded(list, left), Started: started[service]}
	}
	return slots
}

// objective returns the time after its submission in which a job should end.
func objective(r *routes.Route) time.Duration {
	if r.RunObjective > 0 {
		return r.RunObjective
	}
	return r.GiveUpAfter
}
