package job

import (
	"context"
	"time"
)

// Delays and time limits of takeovers.
const (
	// rankDelay is the delay per rank before an instance takes a job over, so that takeovers by several
	// instances rarely conflict.
	rankDelay = 300 * time.Millisecond
	maxRank   = 4 // caps the rank in the delay
	// overfullDelay is the additional delay of an instance without room for the job, so that all instances with room come first.
	// It is also the minimum time between two takeovers without room, in which others take the rest.
	overfullDelay = (maxRank + 1) * rankDelay
	// takeoverTimeout bounds one attempt to take over a job.
	takeoverTimeout = 2 * time.Second
)

// StopTakeovers stops the driver from taking over further jobs. Running jobs continue.
func (d *Driver) StopTakeovers() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.takeoversStopped = true
}

// considerTakeover starts to take over a job if its driver is dead and this instance's delay, which
// depends on its rank for the job and on whether it has room for the job, has passed.
func (d *Driver) considerTakeover(ctx context.Context, s *Summary, hasRoom bool) {
	if !d.opts.Peers.Dead(s.Driver) {
		d.mu.Lock()
		delete(d.orphanedSince, s.ID)
		d.mu.Unlock()
		return
	}
	delay := time.Duration(min(d.opts.Peers.Rank(string(s.ID)), maxRank)) * rankDelay
	if !hasRoom {
		delay += overfullDelay
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.takeoversStopped {
		delete(d.orphanedSince, s.ID)
		return
	}
	since, known := d.orphanedSince[s.ID]
	if !known {
		since = time.Now()
		d.orphanedSince[s.ID] = since
	}
	if time.Since(since) < delay || d.takeovers[s.ID] {
		return
	}
	if !hasRoom {
		if d.overfull || time.Since(d.overfullAt) < overfullDelay {
			return
		}
		d.overfull = true
	}
	d.takeovers[s.ID] = true
	job := *s
	d.tasks.Go(func() {
		d.takeOver(ctx, &job, hasRoom)
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.takeovers, job.ID)
		if !hasRoom {
			d.overfull, d.overfullAt = false, time.Now()
		}
	})
}

// takeOver makes this instance the driver of a job unless the job is closed or has a new driver, or needsRoom is true and this
// instance has no room left.
func (d *Driver) takeOver(ctx context.Context, s *Summary, needsRoom bool) {
	ctx, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()
	g := d.opts.Registry
	changed, err := g.update(ctx, s.ID, func(old *Summary) *Summary {
		if old == nil || !old.Open() || old.Driver != s.Driver {
			return nil
		}
		if needsRoom && !g.hasRoom(g.openItemBytes()[d.opts.Self], old.ItemBytes) {
			return nil
		}
		next := *old
		next.Driver = d.opts.Self
		return &next
	})
	if err != nil {
		d.log.Warn("job not taken over", "job", s.ID, "from", s.Driver.String(), "err", err)
		return
	}
	if changed {
		d.metrics.takeovers.Inc()
		d.log.Info("job taken over", "job", s.ID, "from", s.Driver.String(), "room", needsRoom)
	}
}
