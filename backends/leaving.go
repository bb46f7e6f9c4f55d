package backends

import (
	"time"

	"github.com/cicadasill/cicadasill/timing"
)

// recordNotice records when b leaves by the notice in an entry. Entries reach an instance late by different times, so the
// earliest end counts. The caller holds dir.mu.
func (b *Backend) recordNotice(e Entry) {
	at := timing.SinceBoot() + e.LeavesIn
	switch {
	case !e.Leaving:
		b.leavesAt = 0
	case e.LeavesIn != 0 && (b.leavesAt == 0 || at < b.leavesAt):
		b.leavesAt = at
	}
}

// LeavesIn returns the time until b ends by its notice, which is negative after it. ok is false without a notice.
func (b *Backend) LeavesIn() (left time.Duration, ok bool) {
	b.dir.mu.Lock()
	defer b.dir.mu.Unlock()
	if b.leavesAt == 0 {
		return 0, false
	}
	return b.leavesAt - timing.SinceBoot(), true
}

// Pool is the back ends of a service in one data centre and of one kind.
type Pool struct {
	DataCentre  string
	Reclaimable bool
}

// Present returns the ids of a service's back ends that take new work, by pool, and of those that leave. Back ends that have failed or
// crashed are included while they have entries, because the platform counts them.
func (d *Directory) Present(service string) (present map[Pool][]string, leaving []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	present = map[Pool][]string{}
	for _, b := range d.byID {
		switch {
		case b.Service != service || !b.removedAt.IsZero():
		case b.leaving || b.hasStatedLeaving():
			leaving = append(leaving, b.ID)
		default:
			key := Pool{b.Zone, b.Reclaimable}
			present[key] = append(present[key], b.ID)
		}
	}
	return present, leaving
}

// SlotsPerBackend returns the smallest number of slots of a service's back ends; 0 if none is known.
func (d *Directory) SlotsPerBackend(service string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	slots := 0
	for _, b := range d.byID {
		if b.Service == service && (slots == 0 || b.slots < slots) {
			slots = b.slots
		}
	}
	return slots
}

// InFlight returns the number of this instance's requests in flight at the back ends of a service.
func (d *Directory) InFlight(service string) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	sum := 0
	for _, b := range d.byID {
		if b.Service == service {
			sum += b.inFlight
		}
	}
	return sum
}
