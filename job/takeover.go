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
	// takeoverTimeout bounds one attempt to take over a job.
	takeoverTimeout = 2 * time.Second
)

// StopTakeovers stops the driver from taking over further jobs. Running jobs continue.
func (d *Driver) StopTakeovers() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.takeoversStopped = true
}

// considerTakeover starts to take over a job if its driver is dead, this instance has room for the job, and its delay, which
// depends on its rank for the job, has passed. A job for which no instance has room waits in the store until one has: an instance that
// takes more than fits into its memory ends, and the jobs that it had wait as well.
func (d *Driver) considerTakeover(ctx context.Context, s *Summary, hasRoom bool) {
	if !d.opts.Peers.Dead(s.Driver) {
		d.mu.Lock()
		delete(d.orphanedSince, s.ID)
		d.mu.Unlock()
		return
	}
	delay := time.Duration(min(d.opts.Peers.Rank(string(s.ID)), maxRank)) * rankDelay
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
	if !hasRoom || time.Since(since) < delay || d.takeovers[s.ID] {
		return
	}
	d.takeovers[s.ID] = true
	job := *s
	d.tasks.Go(func() {
		d.takeOver(ctx, &job)
		d.mu.Lock()
		defer d.mu.Unlock()
		delete(d.takeovers, job.ID)
	})
}

// takeOver makes this instance the driver of a job unless the job is closed or has a new driver, or this instance has no room left.
func (d *Driver) takeOver(ctx context.Context, s *Summary) {
	ctx, cancel := context.WithTimeout(ctx, takeoverTimeout)
	defer cancel()
	g := d.opts.Registry
	changed, err := g.update(ctx, s.ID, func(old *Summary) *Summary {
		if old == nil || !old.Open() || old.Driver != s.Driver {
			return nil
		}
		if !g.hasRoom(d.ownItems(), old.ItemBytes) {
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
		d.log.Info("job taken over", "job", s.ID, "from", s.Driver.String(), "orphaned_for", d.orphanedFor(s.ID))
	}
}

// orphanedFor returns the time since this instance noticed that the driver of a job is dead.
func (d *Driver) orphanedFor(id ID) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return time.Since(d.orphanedSince[id])
}

// ownItems returns what the open jobs of this instance take. Other instances, which choose it for new jobs, count the items that have ended
// as well. The caller reads the index.
func (d *Driver) ownItems() openItems {
	d.mu.Lock()
	defer d.mu.Unlock()
	g := d.opts.Registry
	var own openItems
	for _, s := range g.index.jobs {
		if s.Driver != d.opts.Self || !s.Open() {
			continue
		}
		left := s.ItemBytes
		if job := d.active[s.ID]; job != nil {
			left = max(0, left-job.freed.Load())
		}
		own.add(left, g.isLarge(left))
	}
	return own
}
