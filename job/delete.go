package job

import (
	"context"
	"time"

	"github.com/cicadasill/cicadasill/changelog"
	"github.com/cicadasill/cicadasill/timing"
)

// runDeletion deletes expired jobs periodically until ctx ends.
func (g *Registry) runDeletion(ctx context.Context) {
	for timing.Sleep(ctx, deletionInterval) {
		g.deleteExpired(ctx, time.Now())
	}
}

// deleteExpired deletes the jobs that clients can no longer ask for, as far as this instance is responsible for them.
func (g *Registry) deleteExpired(ctx context.Context, now time.Time) {
	var expired []Summary
	g.indexReplica.View(func() {
		for _, s := range g.index.jobs {
			if g.isExpired(s, now) && g.shouldDelete(s) {
				expired = append(expired, *s)
			}
		}
	})
	for i := range expired {
		if err := g.delete(ctx, &expired[i]); err != nil && ctx.Err() == nil {
			g.log.Warn("expired batch job not deleted", "job", expired[i].ID, "err", err)
		}
	}
}

// isExpired reports whether clients can no longer ask for a job: its retention has passed and its client has ended it. A job
// whose results are all listed is still the client's to read until then.
func (g *Registry) isExpired(s *Summary, now time.Time) bool {
	if s.Ended {
		return s.isOlderThan(g.opts.Retention+deletionDelay, now)
	}
	return s.Listed && s.isOlderThan(g.opts.Retention+abandonedAfter, now)
}

// shouldDelete reports whether this instance is responsible for deleting a job: the job's driver is, or the
// live instance of rank 0 if the driver is dead.
func (g *Registry) shouldDelete(s *Summary) bool {
	return s.Driver == g.opts.Self || (g.opts.Peers.Dead(s.Driver) && g.opts.Peers.Rank(string(s.ID)) == 0)
}

// delete deletes all records of a job. The index record comes last, so that a failed deletion is retried.
func (g *Registry) delete(ctx context.Context, s *Summary) error {
	if err := g.deleteRecords(ctx, s, (*jobData).deletions); err != nil {
		return err
	}
	_, err := g.indexReplica.Commit(ctx, func() []changelog.Record {
		if g.index.jobs[s.ID] == nil {
			return nil
		}
		return []changelog.Record{{Key: string(s.ID)}}
	})
	return err
}

// deleteRecords appends the deletions that list returns, in as many calls as they need. list returns those that are left.
func (g *Registry) deleteRecords(ctx context.Context, s *Summary, list func(*jobData, ID) []changelog.Record) error {
	p, limits := g.partitions[s.Partition], g.appendLimits()
	for {
		end, err := p.Commit(ctx, func() []changelog.Record {
			j := p.state.jobs[s.ID]
			if j == nil {
				return nil
			}
			deletions := list(j, s.ID)
			return deletions[:limits.Fitting(deletions)]
		})
		if err != nil || end == 0 {
			return err
		}
	}
}
