package main

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cicadasill/cicadasill/platform/hosted/hostedtest"
)

const (
	// cancelTime is how long after the acknowledgement of its job's end an item may still reach a sampler.
	cancelTime = 3 * time.Second
	// itemResendTime is how long after the end of the cut TCP sends the held bytes once more. The pauses between its attempts double
	// from 0.2 s on, so that the first attempt after a cut of 9 s is 12.6 s after the first one of all.
	itemResendTime = 3600 * time.Millisecond
	readInterval   = 500 * time.Millisecond
)

// playUnasked plays the case of items that a cut link has held up until long after the end of their batch job.
func playUnasked(r *run) error {
	r.store.PutConfig([]byte(refusedConfig))
	samplers, err := r.startLinkedSamplers(5, 4)
	if err != nil {
		return err
	}
	for _, s := range samplers {
		s.Events, s.EventInterval = 10, 20*time.Millisecond
	}
	for n := range 4 {
		if _, err := r.startInstance(fmt.Sprintf("edge-%d", n)); err != nil {
			return err
		}
	}
	if err := r.awaitReady(); err != nil {
		return err
	}
	time.Sleep(2 * time.Second)
	if _, err := r.playStep("first", 0); err != nil {
		return err
	}
	// A trainer's jobs keep their driver, whose connections are open.
	chosen, driver := samplers[0], -1
	for n, link := range chosen.links {
		if link.passed.Load() > 0 {
			driver = n
		}
	}
	if driver < 0 {
		return errors.New("no item went over a link")
	}
	r.notef("edge-%d drives the trainer's jobs", driver)
	var held atomic.Int64
	if r.trouble {
		chosen.links[driver].cut(func(data []byte) { held.Add(int64(bytes.Count(data, []byte("X-Request-Id: second-")))) })
		r.notef("the link of edge-%d to %s is cut", driver, chosen.ID)
	}
	cutAt := time.Now()
	acked, err := r.playStep("second", 1)
	if err != nil {
		return err
	}
	if r.trouble && held.Load() == 0 {
		return errors.New("no item was sent on the cut link")
	}
	time.Sleep(time.Until(cutAt.Add(cutTime)))
	if r.trouble {
		r.notef("the link has healed; %d items are held up", held.Load())
		chosen.links[driver].heal(itemResendTime)
	} else {
		time.Sleep(itemResendTime)
	}
	time.Sleep(2 * time.Second)
	late := 0
	for _, s := range samplers {
		for _, ran := range s.Runs() {
			if after := ran.At.Sub(acked); strings.HasPrefix(ran.ID, "second-") && after > cancelTime {
				late++
				r.notef("item %s reached %s and began to run %v after the acknowledged end of its job, %v after the link healed",
					ran.ID, s.ID, after.Round(time.Millisecond), ran.At.Sub(cutAt.Add(cutTime)).Round(time.Millisecond))
			}
		}
	}
	if late > 0 {
		r.breakRule("UNASKED: %d items ran later than %v after the acknowledged end of their job", late, cancelTime)
	}
	return nil
}

// startLinkedSamplers starts samplers to which each instance has a link of its own.
func (r *run) startLinkedSamplers(count, instances int) ([]*orderedSampler, error) {
	var samplers []*orderedSampler
	for n := range count {
		e := hostedtest.NewEngine(fmt.Sprintf("i-tray-%d", n), "tray-llm", "brisbane-a", "tray-m")
		s, err := r.startOrderedSampler(e, instances)
		if err != nil {
			return nil, err
		}
		samplers = append(samplers, s)
	}
	r.rewriteAddrs(samplers)
	return samplers, nil
}

// playStep submits a step of a trainer, reads its results until all are there, and ends it. It returns when the end was acknowledged.
func (r *run) playStep(id string, step int) (time.Time, error) {
	const items, size = 24, 600
	to := r.instances[0]
	body := jobBody(id, "/tray/x", "tray-m", step, items, size)
	if a := to.send(http.MethodPost, "/tray/x", id, 12*time.Second, body); a.status != http.StatusAccepted {
		return time.Time{}, fmt.Errorf("job %s got status %d", id, a.status)
	}
	r.notef("batch job %s of %d items is accepted", id, items)
	listed := 0
	for end := time.Now().Add(9 * time.Second); listed < items; time.Sleep(readInterval) {
		if time.Now().After(end) {
			return time.Time{}, fmt.Errorf("job %s has %d results", id, listed)
		}
		a := to.send(http.MethodGet, "/api/lots/"+id+"?after=0", "read-"+id, 3*time.Second, nil)
		var page struct {
			Next int `json:"next"`
		}
		if a.status == http.StatusOK && json.Unmarshal(a.body, &page) == nil {
			listed = page.Next
		}
	}
	if a := to.send(http.MethodDelete, "/api/lots/"+id, "end-"+id, 3*time.Second, nil); a.status != http.StatusOK {
		return time.Time{}, fmt.Errorf("the end of job %s got status %d", id, a.status)
	}
	r.notef("all results of batch job %s are read; its end is acknowledged", id)
	return time.Now(), nil
}
