package main

import (
	"fmt"
	"time"
)

func init() { cases["removed-route"] = removedRoute }

// removedRoute: the operator removes the route of a large step. The items that have not begun must be listed as errored.
func removedRoute(f *fleet, trouble bool) bool {
	const (
		host, prefix, model, id = "lots.example", "/rolls/", "tray", "7c41e09b52d6a3f8"
		items, events           = 30000, 1
		gap                     = 5 * time.Millisecond
		// deadline is how long the trainer waits for a step, idle the time at no sampler that breaks the rule.
		deadline, idle = 12 * time.Second, 5 * time.Second
	)
	zones := []string{"brisbane-a", "townsville-a", "brisbane-b"}
	services := []map[string]any{engineService("tray-llm", model, 8)}
	other := rolloutRoute("other", host, "/other/", "tray-llm")
	f.configure(1, services, rolloutRoute("rolls", host, prefix, "tray-llm"), other)
	for n := range 9 {
		f.addSampler(&sampler{id: fmt.Sprintf("i-%d", n), service: "tray-llm", zone: zones[n%3], model: model, slots: 8, queue: 24, gap: gap})
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
	var list []item
	for n := range items {
		list = append(list, newItem(fmt.Sprintf("%s-5d07b8e2-90c7-4da6-8f14-%012d", id, n), prefix, model, fmt.Sprintf("g%d", n/4), events))
	}
	submitted := time.Now()
	if f.submit(f.instances[0], host, prefix, id, map[string]any{"step": 0, "model": model, "min_version": 0, "group_count": items / 4, "items": list}) != 202 {
		cannotRun("the batch job was not accepted")
	}
	if trouble {
		time.Sleep(500 * time.Millisecond)
		f.configure(2, services, other)
	}
	results := f.readAll(host, id, items, submitted.Add(deadline))
	errored := 0
	for _, r := range results {
		if r.State == "errored" {
			errored++
		}
	}
	refused := int64(0)
	for _, p := range f.instances {
		refused += p.door.tooLarge.Load()
	}
	f.log("%d results were read, %d of them errored; the store refused %d calls with a record over %d bytes", len(results), errored, refused, recordBytes)
	return f.judgeLost(list, results, submitted.Add(deadline), idle)
}
