package weights

import (
	"time"

	"github.com/cicadasill/cicadasill/zone"
)

// chooseSource returns the source from which s loads version, and the earliest time at which that source
// may be used. An empty source means that s has to wait for another sampler. It is called with mu held.
//
// A sampler that already holds the version needs no transfer. Otherwise it loads from a sampler of its
// region that holds the version and has fewer than TransfersPerSource active transfers. If no sampler of
// the region holds the version, one sampler loads it from the store and the others wait for that load.
// After an odd number of failed loads from outside the region, a sampler of another region replaces the
// store: like a load from the store, it crosses the narrow link between regions only once.
func (sd *serviceDistributor) chooseSource(s *sampler, version int64) (string, time.Time) {
	if s.holds(version) {
		return s.backend.Addr, time.Time{}
	}
	best, heldInRegion := sd.sourceInRegion(s, version)
	if best != nil {
		return best.backend.Addr, time.Time{}
	}
	if heldInRegion || sd.loadingFromOutside(s.backend.Zone.Region, version) {
		return "", time.Time{}
	}
	backoff := sd.regionBackoff(s.backend.Zone.Region)
	if backoff.failures%2 == 1 {
		if other := sd.sourceInOtherRegion(s.backend.Zone.Region, version); other != nil {
			return other.backend.Addr, backoff.retryAt
		}
	}
	return StoreSource, backoff.retryAt
}

// sourceInRegion returns the best sampler in the region of s to load version from, or nil if none holds
// the version or all holders are at TransfersPerSource. held reports whether any other sampler of the
// region without an order in flight holds the version.
func (sd *serviceDistributor) sourceInRegion(s *sampler, version int64) (best *sampler, held bool) {
	holders := 0
	for _, other := range sd.samplers {
		if other == s || other.backend.Zone.Region != s.backend.Zone.Region || other.swapping || !other.holds(version) {
			continue
		}
		holders++
		if other.activeTransfers < sd.distributor.opts.TransfersPerSource && sd.isBetterSource(s, other, best) {
			best = other
		}
	}
	return best, holders > 0
}

// loadingFromOutside reports whether a sampler of region is loading version from the store or from another
// region.
func (sd *serviceDistributor) loadingFromOutside(region string, version int64) bool {
	for _, other := range sd.samplers {
		if other.backend.Zone.Region == region && other.swapping && other.orderedVersion == version &&
			(other.source == StoreSource || sd.isInOtherRegion(other, other.source)) {
			return true
		}
	}
	return false
}

// isInOtherRegion reports whether source is the address of a sampler in a different region from s.
func (sd *serviceDistributor) isInOtherRegion(s *sampler, source string) bool {
	src := sd.samplerByAddr(source)
	return src != nil && src.backend.Zone.Region != s.backend.Zone.Region
}

// sourceInOtherRegion returns the sampler with the lowest id outside region that can serve version, or nil.
func (sd *serviceDistributor) sourceInOtherRegion(region string, version int64) *sampler {
	var best *sampler
	for _, other := range sd.samplers {
		if other.backend.Zone.Region != region && other.holds(version) && !other.swapping &&
			other.activeTransfers < sd.distributor.opts.TransfersPerSource && (best == nil || other.backend.ID < best.backend.ID) {
			best = other
		}
	}
	return best
}

// isBetterSource reports whether candidate is a better source for s than best. It prefers a source that
// did not just fail, then fewer active transfers, then the shorter distance, and finally the lower id, so
// that the choice is deterministic.
func (sd *serviceDistributor) isBetterSource(s, candidate, best *sampler) bool {
	if best == nil {
		return true
	}
	if a, b := candidate.backend.Addr == s.lastFailedSource, best.backend.Addr == s.lastFailedSource; a != b {
		return b
	}
	if candidate.activeTransfers != best.activeTransfers {
		return candidate.activeTransfers < best.activeTransfers
	}
	if a, b := distance(s, candidate), distance(s, best); a != b {
		return a < b
	}
	return candidate.backend.ID < best.backend.ID
}

func distance(a, b *sampler) zone.Distance { return a.backend.Zone.DistanceTo(b.backend.Zone) }

func (sd *serviceDistributor) samplerByAddr(addr string) *sampler {
	for _, s := range sd.samplers {
		if s.backend.Addr == addr {
			return s
		}
	}
	return nil
}
