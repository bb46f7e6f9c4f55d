package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/cicadasill/cicadasill/timing"
)

// Update intervals of the live display.
const (
	terminalInterval = 500 * time.Millisecond
	textInterval     = 2 * time.Second
)

// display prints the state of the run until ctx ends: one line rewritten in place on a terminal, a
// new line each time otherwise.
func (r *run) display(ctx context.Context) {
	period, before, after := textInterval, "", "\n"
	if r.opts.Terminal {
		period, before, after = terminalInterval, "\r\x1b[K", ""
	}
	for timing.Sleep(ctx, period) {
		fmt.Fprint(r.opts.Out, before, r.statusLine(), after)
	}
	if r.opts.Terminal {
		fmt.Fprintln(r.opts.Out)
	}
}

// statusLine returns the state of the run as one line of text.
func (r *run) statusLine() string {
	var sent, answered, refused, unknown, lost int64
	for _, g := range r.groups {
		n := g.Snapshot()
		sent, answered, refused, unknown, lost = sent+n.Sent, answered+n.Answered, refused+n.RefusedNotRun, unknown+n.Unknown, lost+n.Lost
	}
	ready := 0
	for _, m := range r.cluster.members {
		if m.isReady() {
			ready++
		}
	}
	l := r.trainer.Ledger()
	return fmt.Sprintf("%5.1fs  %d/%d instances  requests %d sent %d answered %d refused %d unknown %d lost  step %d samples %d version %d",
		time.Since(r.loadStart).Seconds(), ready, len(r.cluster.members), sent, answered, refused, unknown, lost,
		l.Steps+1, l.Delivered, r.trainer.Version())
}
