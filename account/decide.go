package account

import "time"

// Whether a request may run.
//
// Load pattern: instances serve from copies of the configuration while the store is slow, silent or cut off. A key that was taken
// away must not be used at any of them for longer than the revocation bound, and an instance that is merely a little behind must
// neither stop nor refuse a key that was just added.

// Outcome is the decision on a request.
type Outcome int

// Outcomes. Only Allowed and Public requests run.
const (
	// Unknown keys may have been added since the copy was read: the caller refreshes the copy once and asks again.
	Unknown Outcome = iota
	// Malformed requests name more than one key.
	Malformed
	// Stale means that the copy may lack a revocation.
	Stale
	// Public requests need no key.
	Public
	// Allowed requests bear the key of an account.
	Allowed
	// Unconfirmed means that the copy does not know the key and could not be refreshed.
	Unconfirmed
)

// Runs reports whether the request may run.
func (o Outcome) Runs() bool { return o == Allowed || o == Public }

// String returns the outcome's name in logs and metrics.
func (o Outcome) String() string {
	switch o {
	case Malformed:
		return "several_keys"
	case Stale:
		return "stale_configuration"
	case Public:
		return "public"
	case Allowed:
		return "allowed"
	case Unconfirmed:
		return "unconfirmed_key"
	default:
		return "unknown_key"
	}
}

// Proof tells how old the copy of the configuration may be.
type Proof struct {
	// Age is the time since the begin of the last read that returned the newest configuration.
	Age time.Duration
	// Bound is the age from which on the copy proves nothing; 0 if no proof is needed.
	Bound time.Duration
}

// IsStale reports whether the copy proves nothing.
func (p Proof) IsStale() bool { return p.Bound > 0 && p.Age >= p.Bound }

// rateTolerance is the part of the revocation bound that is left for the difference between the rates of two machines' clocks.
const rateTolerance = 0.05

// ProofBound returns the bound of a Proof for the time after which a revoked key must not be used. It is 0 if revocation is 0.
func ProofBound(revocation time.Duration) time.Duration {
	return time.Duration((1 - rateTolerance) * float64(revocation))
}

// renewFraction is the part of the bound from which on a copy is read on further ways. The rest of the bound fits a read that is late
// by seconds.
const renewFraction = 0.3

// NeedsRenewal reports whether the copy grows so old that the usual reads alone may not renew it in time.
func (p Proof) NeedsRenewal() bool {
	return p.Bound > 0 && p.Age >= time.Duration(renewFraction*float64(p.Bound))
}

// Credentials are what a request says of its account.
type Credentials struct {
	// Keys are the values of the key header.
	Keys []string
	// Public states that the request's route needs no key.
	Public bool
}

// Decide returns the decision on a request and, if it is Allowed, its account.
func (d *Directory) Decide(c Credentials, proof Proof) (Outcome, *Account) {
	switch {
	case c.Public:
		return Public, nil
	case proof.IsStale():
		return Stale, nil
	case len(c.Keys) > 1:
		return Malformed, nil
	case len(c.Keys) == 0:
		return Unknown, nil // the route may have become public since
	}
	if a, ok := d.ByKey(c.Keys[0]); ok {
		return Allowed, a
	}
	return Unknown, nil
}
