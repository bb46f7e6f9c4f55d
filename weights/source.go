package weights

import (
	"time"

	"github.com/cicadasill/cicadasill/zone"
)

// source chooses where s loads version from. An empty source means that s has to wait for another
// sampler; the time is the earliest at which the source may be used. Called with mu held.
//
// A sampler that holds the version already needs no transfer. Otherwise it loads from a sampler of
// its region that holds the version and serves few others; if none of the region holds it, one
// sampler loads from the store and the others wait for it. After a failed load from the store a
// sampler of another region may stand in, which crosses the narrow link once as the store does.
func (dr *driver) source(s *sampler, version int64) (string, time.Time) {
	if s.holds(version) {
		return s.backend.Addr, time.Time{}
	}
	best, held := dr.inRegion(s, version)
	if best != nil {
		return best.backend.Addr, time.Time{}
	}
	if held || dr.fetching(s.backend.Zone.Region, version) {
		return "", time.Time{}
	}
	r := dr.region(s.backend.Zone.Region)
	if r.failures%2 == 1 {
		if o := dr.elsewhere(s.backend.Zone.Region, version); o != nil {
			return o.backend.Addr, r.nextTry
		}
	}
	return StoreSource, r.nextTry
}

// inRegion returns the best sampler of s's region to load from, nil if there is none or all are
// occupied, and whether any sampler of the region holds version.
func (dr *driver) inRegion(s *sampler, version int64) (best *sampler, held bool) {
	holders := 0
	for _, o := range dr.samplers {
		if o == s || o.backend.Zone.Region != s.backend.Zone.Region || o.swapping || !o.holds(version) {
			continue
		}
		holders++
		if o.serving < dr.d.opts.TransfersPerSource && dr.closer(s, o, best) {
			best = o
		}
	}
	return best, holders > 0
}

// fetching reports whether a sampler of region loads version from outside the region.
func (dr *driver) fetching(region string, version int64) bool {
	for _, o := range dr.samplers {
		if o.backend.Zone.Region == region && o.swapping && o.ordered == version && (o.source == StoreSource || dr.isForeign(o, o.source)) {
			return true
		}
	}
	return false
}

// isForeign reports whether source is a sampler of another region than s.
func (dr *driver) isForeign(s *sampler, source string) bool {
	src := dr.byAddr(source)
	return src != nil && src.backend.Zone.Region != s.backend.Zone.Region
}

func (dr *driver) elsewhere(region string, version int64) *sampler {
	var best *sampler
	for _, o := range dr.samplers {
		if o.backend.Zone.Region != region && o.holds(version) && !o.swapping &&
			o.serving < dr.d.opts.TransfersPerSource && (best == nil || o.backend.ID < best.backend.ID) {
			best = o
		}
	}
	return best
}

// closer prefers a source that did not just fail, then the less used, the nearer, and the lower id
// so that choices are repeatable.
func (dr *driver) closer(s, o, best *sampler) bool {
	if best == nil {
		return true
	}
	if a, b := o.backend.Addr == s.failedSource, best.backend.Addr == s.failedSource; a != b {
		return b
	}
	if o.serving != best.serving {
		return o.serving < best.serving
	}
	if a, b := distance(s, o), distance(s, best); a != b {
		return a < b
	}
	return o.backend.ID < best.backend.ID
}

func distance(a, b *sampler) zone.Distance { return a.backend.Zone.DistanceTo(b.backend.Zone) }

func (dr *driver) byAddr(addr string) *sampler {
	for _, s := range dr.samplers {
		if s.backend.Addr == addr {
			return s
		}
	}
	return nil
}
