package provision

import "time"

// needMemory is the time over which the peak of the need counts. It spans several steps of a trainer and the outages of the store in
// which trainers can submit none.
const needMemory = 20 * time.Second

// need is the peak of the slots that the work of a service has needed within needMemory.
type need struct {
	firstAt time.Duration // when the need was first above zero; 0 if it never was
	current int
	samples []needSample // decreasing in slots, so that the first one is the peak
}

type needSample struct {
	at    time.Duration
	slots int
}

// observe records the need at a time.
func (n *need) observe(now time.Duration, slots int) {
	n.current = slots
	if n.firstAt == 0 && slots > 0 {
		n.firstAt = now
	}
	for len(n.samples) > 0 && n.samples[len(n.samples)-1].slots <= slots {
		n.samples = n.samples[:len(n.samples)-1]
	}
	n.samples = append(n.samples, needSample{now, slots})
	for n.samples[0].at < now-needMemory {
		n.samples = n.samples[1:]
	}
}

// peak returns the peak of the need.
func (n *need) peak() int {
	if len(n.samples) == 0 {
		return 0
	}
	return n.samples[0].slots
}

// isKnown reports whether work has been seen for as long as the peak counts.
func (n *need) isKnown(now time.Duration) bool { return n.firstAt > 0 && now-n.firstAt >= needMemory }
