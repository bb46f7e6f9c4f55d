package job

import (
	"fmt"
	"time"

	"github.com/cicadasill/cicadasill/backends"
)

// Load pattern: engines of a service differ in speed by a third, and some become several times slower
// for seconds. A step ends when its last long text does; at a slower engine that is seconds after the
// others. Reading a text in again at another engine takes some ten milliseconds.
//
// A running text moves when the time that it is expected to save is worth a move, and when it is among the
// last of its step: a text that ends before the step's longest ones delays nobody, and a move may take a
// new connection. Until then it goes on where it is and waits for a slot at a faster engine in the order of
// all waiting items.

const (
	// moveEvery is the number of events after which a text's place is looked at again.
	moveEvery = 4
	// maxMoves bounds how often a text moves: each time it is read in again.
	maxMoves = 3
	// moveGain is the least time that a move must save. A move takes up to 0.1 s, and at times a new
	// connection.
	moveGain = 250 * time.Millisecond
	// moveLead is how far an engine's pace must be behind a quick one's. Smaller differences come and go
	// with the loads of equally fast engines.
	moveLead = 1.25
	// targetLead is the least advantage in pace of the engine to which a text moves.
	targetLead = 1.1
	// lastPart is the part of the longest recent text's time from which on a text that ends is among the
	// last of its step.
	lastPart = 0.8
)

// MovedError ends an attempt whose text goes on at a faster engine.
type MovedError struct {
	// To is the faster engine.
	To string
	// Pace is the time between two events at the engine that the text leaves, Quick at quick engines.
	Pace, Quick time.Duration
	// Rest is how long the text was expected to run on at a typical engine.
	Rest time.Duration
}

// Error implements error.
func (e *MovedError) Error() string {
	return fmt.Sprintf("moved to %s: an event each %v, %v at quick engines, %v expected to be left", e.To, e.Pace, e.Quick, e.Rest)
}

// remaining estimates how long a text still runs at a typical engine, from the time expected for all of
// it, the time for what it has generated and the time of the longest recent text. Texts that exceed
// their estimate go on for long, but rarely beyond the longest.
func remaining(expected, generated, longest time.Duration) time.Duration {
	left := max(expected-generated, generated/2)
	if generated < longest {
		left = min(left, longest-generated)
	}
	return left
}

// isMoveWorth reports whether a text saves enough at an engine of quick pace. Paces are the times between
// two events; rest is the time that the text still takes at the typical pace.
func isMoveWorth(rest, pace, quick, typical time.Duration) bool {
	if quick == 0 || float64(pace) < moveLead*float64(quick) {
		return false
	}
	return time.Duration(float64(rest)*float64(pace-quick)/float64(typical)) >= moveGain
}

// isAmongLast reports whether a text of a job of some age ends late for its step: no earlier than one as long as
// the longest recent texts would that began with the job.
func isAmongLast(age, rest, longest time.Duration) bool {
	return float64(age+rest) >= lastPart*float64(longest)
}

// place is the engine at which a text runs, and its wait for a faster one.
type place struct {
	placer   *placer
	backend  *backends.Backend
	template want // for the wait
	// submitted and at order the wait among the waiting items.
	submitted time.Time
	at        int
	// single states that all of the text must have one version.
	single bool
	// longest returns the time of the longest recent text.
	longest func() time.Duration

	waiting *want
	// move is why the text waits.
	move MovedError
}

// next returns the faster engine at which the text should go on, if there is one, with the reason. The
// caller must call End on it.
func (p *place) next(events int, t *text) (*backends.Backend, *MovedError) {
	if p.waiting == nil {
		if events%moveEvery == 0 {
			p.consider(t)
		}
		return nil, nil
	}
	select {
	case b := <-p.waiting.placed:
		p.waiting = nil
		p.move.To = b.ID
		return b, &p.move
	default:
		return nil, nil
	}
}

// consider makes the text wait for a faster engine if a move is worth it.
func (p *place) consider(t *text) {
	list := p.placer.dir.Candidates(p.backend.Service, "")
	typical, quick := paceAt(list, 0.5), paceAt(list, quickPart)
	pace := p.backend.Pace()
	longest := p.longest()
	rest := remaining(p.template.expected, time.Duration(t.last)*typical, longest)
	if !isMoveWorth(rest, pace, quick, typical) {
		return
	}
	if here := time.Duration(float64(rest) * float64(pace) / float64(typical)); !isAmongLast(time.Since(p.submitted), here, longest) {
		return
	}
	w := p.template
	w.except, w.expected = p.backend, rest
	w.paceBelow = time.Duration(float64(pace) / targetLead)
	if p.single && len(t.versions) > 0 {
		w.version = t.versions[0]
	}
	w.order = orderOf(p.submitted.UnixMilli(), rest, p.at)
	p.waiting, p.move = &w, MovedError{Pace: pace, Quick: quick, Rest: rest}
	p.placer.enqueue(&w)
}

// leave ends the wait.
func (p *place) leave() {
	if p.waiting != nil {
		p.placer.withdraw(p.waiting)
		p.waiting = nil
	}
}
