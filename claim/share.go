package claim

import (
	"fmt"

	"golang.org/x/time/rate"

	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/membership"
)

// Share selects how the instances divide the append rate.
type Share string

// Values of Share. With both, the rates of all instances add up to the whole rate if their
// membership views are equal.
const (
	// EvenShare gives each live instance the same rate.
	EvenShare Share = "even"
	// OwnerShare gives nine tenths of the rate to the owners of the streams, in proportion to
	// the streams that they own, and divides the rest among all instances. Only owners append
	// in normal operation: with 330 instances, EvenShare leaves 16 of them with 0.9 appends/s
	// each.
	OwnerShare Share = "owner"
)

// ownersFraction is the fraction of the rate that OwnerShare gives to owners. The rest lets
// instances that cannot reach an owner append claims.
const ownersFraction = 0.9

// burstSeconds is the token bucket's size in seconds of its rate.
const burstSeconds = 0.1

// updateRate sets this instance's part of the append rate for the current membership view.
func (c *Claims) updateRate() {
	live := c.view.Live()
	if len(live) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(live) == len(c.rateView) && &live[0] == &c.rateView[0] {
		return // views are immutable; a change produces a new slice
	}
	c.rateView = live
	fraction := 1 / float64(len(live))
	if c.opts.Share == OwnerShare {
		fraction = ownersFraction*float64(ownedStreams(c.self, live))/Streams + (1-ownersFraction)*fraction
	}
	limit := c.opts.AppendsPerSecond * fraction
	c.limiter.SetLimit(rate.Limit(limit))
	c.limiter.SetBurst(max(1, int(limit*burstSeconds)))
}

// ownedStreams returns the number of claim streams that self owns.
func ownedStreams(self machine.Instance, live []machine.Instance) (n int) {
	for i := range Streams {
		if membership.Owner(streamName(i), live).ID == self.ID {
			n++
		}
	}
	return n
}

func streamName(i int) string { return fmt.Sprintf("claims-%02d", i) }
