package claim

import (
	"fmt"

	"golang.org/x/time/rate"

	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/membership"
)

// Share says how the instances share the append rate.
type Share string

// Shares. With equal views the rates of all instances add up to the whole in both.
const (
	// EvenShare gives each live instance the same rate.
	EvenShare Share = "even"
	// OwnerShare gives nine tenths of the rate to the owners of the streams, by the number of
	// streams, and the rest to all. Only owners append when all is well: with 330 instances the
	// even share leaves 16 of them with 0.9 appends/s each.
	OwnerShare Share = "owner"
)

// ownersPart is the part of the rate that OwnerShare gives to owners. The rest lets instances
// claim that cannot reach an owner.
const ownersPart = 0.9

// burstPart is the token bucket's size in seconds of its rate.
const burstPart = 0.1

// setRate adapts this instance's part of the append rate to the view.
func (c *Claims) setRate() {
	live := c.view.Live()
	if len(live) == 0 {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(live) == len(c.ratedView) && &live[0] == &c.ratedView[0] {
		return // views are not modified, a change gives a new one
	}
	c.ratedView = live
	part := 1 / float64(len(live))
	if c.opts.Share == OwnerShare {
		part = ownersPart*float64(ownedStreams(c.self, live))/Streams + (1-ownersPart)*part
	}
	limit := c.opts.AppendsPerSecond * part
	c.limiter.SetLimit(rate.Limit(limit))
	c.limiter.SetBurst(max(1, int(limit*burstPart)))
}

func ownedStreams(self machine.Instance, live []machine.Instance) (n int) {
	for i := range Streams {
		if membership.Owner(streamName(i), live).ID == self.ID {
			n++
		}
	}
	return n
}

func streamName(i int) string { return fmt.Sprintf("claims-%02d", i) }
