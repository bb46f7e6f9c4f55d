package duty

import (
	"slices"
	"time"
)

// callMargin is the time between the end of a holder's last check and the first call of a successor. A call that was permitted
// by that check arrives within it. It equals takeoverWait less leaseTTL.
const callMargin = takeoverWait - leaseTTL

// Rules tell how the receivers of a holder's calls judge them.
type Rules struct {
	// MinTurn is the time within which two machines may not act in turns; 0 if they may.
	MinTurn time.Duration
	// Unfenced states that receivers accept a fencing token that is lower than one that they have seen, so that only the
	// holders can keep calls in order.
	Unfenced bool
}

// pastHold is an earlier hold of a machine.
type pastHold struct {
	Machine string `cbor:"1,keyasint"`
	// Age is a lower bound of the time from the end of the hold to the start of the attempt that wrote the record.
	Age time.Duration `cbor:"2,keyasint"`
}

// holdTime returns how long a holder acts after the start of a renewal that took the given time.
func (r Rules) holdTime(took time.Duration) time.Duration {
	if !r.Unfenced {
		return leaseTTL
	}
	return leaseTTL - took // a call may take as long to arrive as the renewal did
}

// mayTakeTurn reports whether a machine may take the duty over from the holder of current, which has not changed for the given
// time.
func (r Rules) mayTakeTurn(current *record, machine string, unchangedFor time.Duration) bool {
	if r.MinTurn == 0 || current.Holder.ID == machine {
		return true
	}
	return !slices.ContainsFunc(current.Past, func(p pastHold) bool {
		return p.Machine == machine && p.Age+unchangedFor < r.MinTurn+callMargin
	})
}

// pastHolds returns the past holds for the record that follows current, which has not changed for the given time. takenOver
// states that the next record names another machine.
func (r Rules) pastHolds(current *record, unchangedFor time.Duration, takenOver bool) []pastHold {
	if r.MinTurn == 0 {
		return nil
	}
	var past []pastHold
	for _, p := range current.Past {
		p.Age += unchangedFor
		if p.Age < r.MinTurn+callMargin && !(takenOver && p.Machine == current.Holder.ID) {
			past = append(past, p)
		}
	}
	if takenOver {
		past = append(past, pastHold{Machine: current.Holder.ID})
	}
	return past
}
