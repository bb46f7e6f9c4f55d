package job

import (
	"context"
	"slices"
	"time"

	"github.com/cicadasill/cicadasill/backends"
)

// Resumption of texts at the software that began them.
//
// What two versions of an engine's software write does not fit together, and engines do not check it. A text that was broken off goes on
// at an engine of its service and software. If there is none, or none gets free within the time that it takes to generate the lost part
// again, the text starts over at the first engine of any writer.

// minWriterWait is the least time that a text waits for an engine of its software: one dispatch after a change, and one of another item.
const minWriterWait = 2 * dispatchInterval

// writer is what has generated an output: engines of one service with one version of their software. The software is empty if it is
// not known, as it is at instances that have their entries from one of an earlier release; unknown versions count as equal.
type writer struct{ service, software string }

// writerOf returns the writer that an engine belongs to.
func writerOf(b *backends.Backend) writer { return writer{b.Service, b.Software} }

// maxEntriesAge is the age up to which entries tell which software serves in an engine's place. Instances in touch with the store read them
// several times in it.
const maxEntriesAge = 1500 * time.Millisecond

// isWriterDoubtful reports whether this driver cannot tell what software has generated an output, or would go on with it: its entries are old,
// or another process with other software has taken the place of the engine that began the output here.
func (d *Driver) isWriterDoubtful(out *partialOutput) bool {
	if out.lastEvent == 0 {
		return false
	}
	if d.opts.EntriesAge != nil && d.opts.EntriesAge() > maxEntriesAge {
		return true
	}
	if out.begunAt == nil {
		return false
	}
	current, known := d.opts.Backends.Backend(out.begunAt.ID)
	return known && current.Software != out.begunAt.Software
}

// serves reports whether any engine of a writer may run an item for the request, now or when it has a free slot.
func (p *placer) serves(w writer, req *engineRequest) bool {
	return slices.ContainsFunc(p.dir.Candidates(w.service, req.model), func(c backends.Candidate) bool { return req.accepts(&c) })
}

// acquireWriter is acquireEngine for an item that has generated out. It prefers an engine that can go on with it. It discards the output
// only when it has another one: those of the output's writer may be avoided for a moment, like all others.
func (d *Driver) acquireWriter(ctx context.Context, req *engineRequest, first *backends.Backend, out *partialOutput) (*backends.Backend, error) {
	if out.lastEvent == 0 {
		return d.acquireEngine(ctx, req, first)
	}
	resumed := *req
	resumed.resumes, resumed.software = true, out.writer.software
	if first != nil && writerOf(first) != out.writer {
		first.End()
		first = nil
	}
	if first != nil || (req.service == out.writer.service && d.placer.serves(out.writer, &resumed)) {
		waitCtx, cancel := context.WithTimeout(ctx, d.regenerationTime(out))
		b, err := d.acquireEngine(waitCtx, &resumed, first)
		cancel()
		if err == nil || ctx.Err() != nil {
			return b, err
		}
	}
	b, err := d.acquireEngine(ctx, req, nil)
	if err == nil && writerOf(b) != out.writer {
		d.metrics.restarts.Inc()
		d.log.Info("text starts over", "service", req.service, "software", out.writer.software, "events", out.lastEvent, "backend", b.ID)
		out.reset()
	}
	return b, err
}

// regenerationTime returns about how long an engine takes to generate an output again.
func (d *Driver) regenerationTime(out *partialOutput) time.Duration {
	interval := eventIntervalQuantile(d.placer.dir.Candidates(out.writer.service, ""), 0.5)
	return max(minWriterWait, time.Duration(out.lastEvent)*interval)
}
