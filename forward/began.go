package forward

import (
	"errors"
	"time"

	"github.com/cicadasill/cicadasill/timing"
)

// beginnings tells when a request of a client account began to run. A request counts once, whatever number of back ends it was
// sent to.
type beginnings struct {
	// sends holds, by number, the starts of the sends that have run or may have run, by the clock since boot.
	sends map[int]time.Duration
	// answered is the start of the send whose answer proves that it has run; 0 if there is none.
	answered time.Duration
}

// send records the start of a send.
func (b *beginnings) send(number int) {
	if b.sends == nil {
		b.sends = map[int]time.Duration{}
	}
	b.sends[number] = timing.SinceBoot()
}

// notRun records that a send has not run.
func (b *beginnings) notRun(number int) { delete(b.sends, number) }

// ran records that a send has run.
func (b *beginnings) ran(number int) {
	if b.answered == 0 {
		b.answered = b.sends[number]
	}
}

// at returns when the request began to run, as far as is known, and false if it has not run at all.
func (b *beginnings) at() (time.Duration, bool) {
	if b.answered != 0 {
		return b.answered, true
	}
	earliest, found := time.Duration(0), false
	for _, start := range b.sends {
		if !found || start < earliest {
			earliest, found = start, true
		}
	}
	return earliest, found
}

// settle accounts for the outcome of a send. It returns the error of a send that has not run, else nil.
func (e *exchange) settle(result sendResult) *NotRunError {
	var notRun *NotRunError
	if errors.As(result.err, &notRun) {
		e.attempts.endRefused()
		e.begun.notRun(result.number)
		return notRun
	}
	e.attempts.endPossiblyRun()
	if result.err == nil {
		e.begun.ran(result.number)
	}
	return nil
}

// reportBegun tells the observer of a request that began to run at a moment of the clock since boot.
func (f *Forwarder) reportBegun(r *Request, at time.Duration) {
	if f.opts.RequestBegan != nil && r.Account != "" && !r.Owed {
		f.opts.RequestBegan(r.Account, at)
	}
}
