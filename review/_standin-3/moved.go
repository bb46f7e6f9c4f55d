package main

import (
	"fmt"
	"time"
)

func init() { cases["moved-route"] = movedRoute }

// movedRoute: the operator moves a trainer's route to another service and then retires the samplers of the service before. The items of
// the step that waits for samplers must run at the other service, which is idle.
func movedRoute(f *fleet, trouble bool) bool {
	const (
		host, prefix, model, id = "lots.example", "/rolls/", "fry", "7c41e09b52d6a3f8"
		items, events           = 60, 20
		gap                     = 25 * time.Millisecond
		// deadline is how long the trainer waits for a step, idle the time at no sampler that breaks the rule.
		deadline, idle = 12 * time.Second, 5 * time.Second
	)
	zones := []string{"brisbane-a", "townsville-a", "brisbane-b"}
	services := []map[string]any{engineService("old-lm", model, 4), engineService("new-lm", model, 4)}
	f.configure(1, services, rolloutRoute("rolls", host, prefix, "old-lm"))
	var retired []*sampler
	for n := range 3 {
		retired = append(retired, f.addSampler(&sampler{id: fmt.Sprintf("i-old%d", n), service: "old-lm", zone: zones[n], model: model, slots: 4, queue: 12, gap: gap}))
	}
	for n := range 21 {
		f.addSampler(&sampler{id: fmt.Sprintf("i-new%02d", n), service: "new-lm", zone: zones[n%3], model: model, slots: 4, queue: 12, gap: gap})
	}
	for n, zone := range zones {
		region := "brisbane"
		if n == 1 {
			region = "townsville"
		}
		f.addInstance("edge-"+zone, zone, region)
	}
	f.awaitReady()
	time.Sleep(inTouch)
	job := map[string]any{"step": 0, "model": model, "min_version": 0, "group_count": 15}
	var list []item
	for n := range items {
		list = append(list, newItem(fmt.Sprintf("e5b2907c14da%04d", n), prefix, model, fmt.Sprintf("g%d", n/4), events))
	}
	job["items"] = list
	submitted := time.Now()
	if f.submit(f.instances[0], host, prefix, id, job) != 202 {
		cannotRun("the batch job was not accepted")
	}
	if trouble {
		time.Sleep(time.Until(submitted.Add(600 * time.Millisecond)))
		f.configure(2, services, rolloutRoute("rolls", host, prefix, "new-lm"))
		time.Sleep(200 * time.Millisecond)
		for _, s := range retired {
			s.drain(3 * time.Second)
		}
	}
	results := f.readAll(host, id, items, submitted.Add(deadline))
	return f.judgeLost(list, results, submitted.Add(deadline), idle)
}

// engineService is a service of the operator's configuration whose samplers run a model.
func engineService(name, model string, slots int) map[string]any {
	return map[string]any{"name": name, "max_conns": 150, "health_path": "/healthz", "engine": map[string]any{"slots": slots, "models": []map[string]any{{"name": model}}}}
}

// judgeLost applies LOST to a step that has run out of time: an item that no sampler has finished was at none for a while, though others
// of the step had begun and the samplers were under half full.
func (f *fleet) judgeLost(list []item, results []result, end time.Time, idle time.Duration) bool {
	read := map[string]bool{}
	for _, r := range results {
		read[r.ID] = true
	}
	f.mu.Lock()
	visits := map[string][]*visit{}
	for _, v := range f.visits {
		visits[v.id] = append(visits[v.id], v)
	}
	begun := 0
	var lost []string
	for _, it := range list {
		lastAt, done, any := time.Time{}, false, false
		for _, v := range visits[it.ID] {
			any = any || !v.beganAt.IsZero()
			done = done || !v.finishedAt.IsZero()
			leftAt := v.at
			if !v.beganAt.IsZero() && v.finishedAt.IsZero() && v.brokenAt.IsZero() {
				leftAt = end // it is there still
			}
			if v.brokenAt.After(leftAt) {
				leftAt = v.brokenAt
			}
			if leftAt.After(lastAt) {
				lastAt = leftAt
			}
		}
		if any {
			begun++
		}
		if !done && !read[it.ID] && end.Sub(lastAt) > idle {
			lost = append(lost, it.ID)
		}
	}
	full, slots := f.load(end.Add(-idle), end)
	f.mu.Unlock()
	f.log("%d of %d items were read, %d had begun; %d were at no sampler for %v before the step ran out of time", len(read), len(list), begun, len(lost), idle)
	f.log("at most %d of %d places of the samplers were taken in that time", full, slots)
	for n, id := range lost {
		if n == 100 {
			f.log("and %d more", len(lost)-n)
			break
		}
		f.log("lost: %s", id)
	}
	return len(lost) > 0 && begun > 0 && 2*full < slots
}

// load returns the most places that were taken at once in a span, and all places. The caller holds mu.
func (f *fleet) load(from, to time.Time) (taken, places int) {
	for _, s := range f.samplers {
		s.mu.Lock()
		if !s.gone {
			places += s.slots
		}
		s.mu.Unlock()
	}
	const step = 50 * time.Millisecond
	counts := make([]int, int(to.Sub(from)/step))
	for _, v := range f.visits {
		ended := v.finishedAt
		if ended.IsZero() {
			ended = v.brokenAt
		}
		if v.beganAt.IsZero() || (!ended.IsZero() && ended.Before(from)) {
			continue
		}
		for n := range counts {
			if at := from.Add(time.Duration(n) * step); v.beganAt.Before(at) && (ended.IsZero() || ended.After(at)) {
				counts[n]++
			}
		}
	}
	for _, n := range counts {
		taken = max(taken, n)
	}
	return taken, places
}
