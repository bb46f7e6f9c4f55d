package instance

import (
	"context"
	"errors"
	"math"
	"time"

	"github.com/sourcegraph/conc"

	"github.com/cicadasill/cicadasill/account"
	"github.com/cicadasill/cicadasill/changelog"
	"github.com/cicadasill/cicadasill/platform/hosted"
	"github.com/cicadasill/cicadasill/presence"
	"github.com/cicadasill/cicadasill/relay"
	"github.com/cicadasill/cicadasill/routes"
	"github.com/cicadasill/cicadasill/telemetry"
	"github.com/cicadasill/cicadasill/timing"
)

// Reads of the operators' records.
const (
	// minRefreshPause is the least time between two reads of the configuration for requests that the copy refuses for good.
	minRefreshPause = 100 * time.Millisecond
	// refreshTimeout bounds such a read. A call to the store on a silent connection and its repeat fit.
	refreshTimeout = 800 * time.Millisecond
	// renewalInterval is the least time between two further reads of a configuration that grows old, on each way.
	renewalInterval = 400 * time.Millisecond
	// renewalPatience bounds such a read. With renewalInterval it also bounds how many run at the same time.
	renewalPatience = 2500 * time.Millisecond
	// renewInForceFraction is the part of the time after which a configuration must be in force from which on it is read on further
	// ways. It is above the age that waiting reads leave, and the rest fits a read that is late by a second.
	renewInForceFraction = 0.6
	// readsPerProof is the least number of reads that the usual way begins within the bound of a proof.
	readsPerProof = 4
)

// errNoDirectCalls is the cause with which calls go through other instances only.
var errNoDirectCalls = errors.New("direct calls are made beside")

// peersOnly is a store that no direct call reaches.
type peersOnly struct{ changelog.Log }

// Read implements changelog.Log.
func (peersOnly) Read(context.Context, changelog.Partition, int64, time.Duration) (changelog.Batch, error) {
	return changelog.Batch{}, &changelog.NotDoneError{Call: "read", Err: errNoDirectCalls}
}

// operatorHistory are the records before the newest ones that a starting instance reads: what operators write in the seconds for which the
// store may execute a write late. A configuration can have tens of kilobytes.
var operatorHistory = changelog.HistoryOptions{PerKey: 1, Min: 16, Max: 16}

// learnOperatorHistory applies the operators' last records, so that an older configuration that the store has executed late is not taken for
// the newest one. The configuration counts from the first read on, whose age is known. It makes one attempt: without it, the newest record of
// each key counts.
func (i *Instance) learnOperatorHistory(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	history, err := changelog.Replay(ctx, i.store, hosted.OperatorPartition, operatorHistory)
	if err != nil {
		i.log.Warn("history of the operators' records not read", "err", err)
		return
	}
	var newest *routes.Config
	decoder := &hosted.OperatorRecords{Logger: telemetry.Discard(), OnVersion: i.recordTargetVersion, OnConfig: func(c *routes.Config, _ time.Duration) {
		if newest == nil || c.Version > newest.Version {
			newest = c
		}
	}}
	for _, record := range history.Records {
		decoder.Apply(record)
	}
	if newest == nil {
		return
	}
	i.loggedConfig.Store(newest)
	i.operators.View(func() { // another read may have begun before
		if i.config.Load() != nil {
			i.applyConfig(newest, 0)
		}
	})
}

// followOperators reads the operators' records until ctx ends.
func (i *Instance) followOperators(ctx context.Context) {
	i.learnOperatorHistory(ctx)
	i.operators.Follow(ctx, changelog.ConstantWait(i.configReadWait()), func() time.Duration { return presence.LongPollPause(0, i.presence.Count()) }, i.storeMonitor("operators"))
}

// errConfigNotReadable reports that the newest configuration cannot be put in force.
var errConfigNotReadable = errors.New("the newest configuration is not readable")

// newConfigRefresh returns a function that reads the configuration up to its newest version, within refreshTimeout.
func (i *Instance) newConfigRefresh() func(context.Context) error {
	refresher := &account.Refresher{
		Read: i.operators.Sync, Timeout: refreshTimeout,
		Pause: func() time.Duration { return presence.LongPollPause(minRefreshPause, i.presence.Count()) },
	}
	return func(ctx context.Context) error {
		ctx, cancel := context.WithTimeout(ctx, refreshTimeout+minRefreshPause)
		defer cancel()
		if err := refresher.Refresh(ctx); err != nil {
			return err
		}
		if !i.operatorRecords.HasNewestConfig() {
			return errConfigNotReadable
		}
		return nil
	}
}

// renewConfig keeps the configuration fresh until ctx ends, where the settings bound its age. While the usual reads are stuck or late,
// it begins further ones that may take longer, directly and through other instances, those that may only seem to have ended included.
func (i *Instance) renewConfig(ctx context.Context) {
	s, inForce := i.settings, milliseconds(i.settings.Configuration.InForceMs.Value)
	if s.Accounts.StrictRevocation.Value && i.proofBound() <= 0 {
		i.log.Error("strict revocation is off: accounts.revocation_ms is missing or not positive")
	}
	if i.proofBound() <= 0 && inForce <= 0 {
		return
	}
	direct := hosted.NewStore(hosted.StoreOptions{
		Addr: s.Store.Addr, WritesPerS: storeFraction * s.Store.WritesPerS, ReadsPerS: storeFraction * s.Store.ReadsPerS, Patience: renewalPatience,
	})
	throughPeers := relay.New(relay.Options{Direct: peersOnly{}, Caller: i.node, Logger: telemetry.Discard(), Peers: i.presence.PossiblyLive})
	var reads conc.WaitGroup
	defer reads.Wait()
	pause := func() time.Duration { return presence.LongPollPause(renewalInterval, i.presence.Count()) }
	for old := false; timing.Sleep(ctx, pause()); {
		if !i.configNeedsRenewal(inForce) {
			if old {
				i.log.Info("configuration is fresh again", "version", i.config.Load().Version)
			}
			old = false
			continue
		}
		if !old {
			old = true
			i.log.Warn("configuration grows old", "age", i.configAge(), "version", i.config.Load().Version, "err", i.operators.LastReadError())
		}
		for _, way := range []changelog.Log{direct, throughPeers} {
			reads.Go(func() {
				ctx, cancel := context.WithTimeout(ctx, renewalPatience)
				defer cancel()
				_ = i.operators.ReadThrough(ctx, way) // the age tells whether any of them has succeeded
			})
		}
	}
}

// configMayBeReplaced reports whether a newer configuration than this instance's should be in force, for all it knows.
func (i *Instance) configMayBeReplaced() bool {
	inForce := milliseconds(i.settings.Configuration.InForceMs.Value)
	return inForce > 0 && i.configAge() >= inForce
}

// configNeedsRenewal reports whether the configuration grows so old that the usual reads alone may not renew it in time. inForce is the
// time after which it must be in force; 0 if none is set.
func (i *Instance) configNeedsRenewal(inForce time.Duration) bool {
	config, age := i.config.Load(), i.configAge()
	if config == nil {
		return false
	}
	proof := account.Proof{Age: age, Bound: i.proofBound()}
	return (config.Accounts != nil && proof.NeedsRenewal()) || (inForce > 0 && age >= time.Duration(renewInForceFraction*float64(inForce)))
}

// configReadWait returns how long a usual read of the operators' records waits for new ones.
func (i *Instance) configReadWait() time.Duration {
	if bound := i.proofBound(); bound > 0 {
		return min(operatorReadWait, bound/readsPerProof)
	}
	return operatorReadWait
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
