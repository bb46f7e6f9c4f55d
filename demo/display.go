package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/cicadasill/cicadasill/timing"
)

// Periods of the live display.
const (
	terminalEvery = 500 * time.Millisecond
	plainEvery    = 2 * time.Second
)

// display shows the state of the run until ctx ends: one refreshed line on a terminal, plain
// lines otherwise.
func (r *run) display(ctx context.Context) {
	period, before, after := plainEvery, "", "\n"
	if r.opts.Terminal {
		period, before, after = terminalEvery, "\r\x1b[K", ""
	}
	for timing.Sleep(ctx, period) {
		fmt.Fprint(r.opts.Out, before, r.line(), after)
	}
	if r.opts.Terminal {
		fmt.Fprintln(r.opts.Out)
	}
}

func (r *run) line() string {
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
		time.Since(r.began).Seconds(), ready, len(r.cluster.members), sent, answered, refused, unknown, lost,
		l.Steps+1, l.Delivered, r.trainer.Version())
}
