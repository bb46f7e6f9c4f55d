package instance

import (
	"context"
	"math"
	"time"

	"github.com/cicadasill/cicadasill/account"
	"github.com/cicadasill/cicadasill/platform/hosted"
	"github.com/cicadasill/cicadasill/presence"
)

const (
	// minRefreshPause is the least time between two reads of the configuration for requests with unknown keys.
	minRefreshPause = 100 * time.Millisecond
	// refreshTimeout bounds such a read. A call to the store on a silent connection and its repeat fit.
	refreshTimeout = 800 * time.Millisecond
)

// newAccess returns the check of the keys of client accounts.
func (i *Instance) newAccess() hosted.Access {
	bound := time.Duration(0)
	if s := i.settings.Accounts; s.StrictRevocation.Value {
		bound = account.ProofBound(milliseconds(s.RevocationMs.Value))
	}
	refresher := &account.Refresher{
		Read: i.operators.Sync, Timeout: refreshTimeout,
		Pause: func() time.Duration { return presence.LongPollPause(minRefreshPause, i.presence.Count()) },
	}
	proof := func() account.Proof { return account.Proof{Age: i.configAge(), Bound: bound} }
	return hosted.NewAccess(proof, func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, refreshTimeout+minRefreshPause)
		defer cancel()
		return refresher.Refresh(ctx)
	}, i.registry)
}

// configAge returns the time since the begin of the last read that returned the newest configuration, or the largest duration if that
// is not in force.
func (i *Instance) configAge() time.Duration {
	if !i.operatorRecords.HasNewestConfig() {
		return math.MaxInt64
	}
	return i.operators.Age()
}

// milliseconds converts a number of milliseconds to a duration.
func milliseconds(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
