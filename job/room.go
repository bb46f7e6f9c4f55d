package job

import "github.com/cicadasill/cicadasill/machine"

// OpenItemBytes returns the size of the items of the open jobs that this instance drives.
func (g *Registry) OpenItemBytes() int64 {
	open := int64(0)
	g.indexReplica.View(func() { open = g.openItemBytes()[g.opts.Self] })
	return open
}

// openItemBytes returns the sizes of the items of open jobs by their drivers. The caller reads the index.
func (g *Registry) openItemBytes() map[machine.Ref]int64 {
	open := map[machine.Ref]int64{}
	for _, s := range g.index.jobs {
		if s.Open() {
			open[s.Driver] += s.ItemBytes
		}
	}
	return open
}

// hasRoom reports whether a driver whose open jobs have open bytes of items can hold another job with size bytes.
func (g *Registry) hasRoom(open, size int64) bool {
	return g.opts.MaxItemBytes == 0 || open == 0 || open+size <= g.opts.MaxItemBytes
}

// chooseDriver returns the driver of a new job with size bytes of items: the preferred one of those that have room. It returns
// *FullError if none has. The caller reads the index.
func (g *Registry) chooseDriver(spec *Spec, size int64) (machine.Ref, error) {
	open, candidates := g.openItemBytes(), g.candidateDrivers(spec)
	for _, driver := range candidates {
		if g.hasRoom(open[driver], size) {
			return driver, nil
		}
	}
	preferred := candidates[0]
	return machine.Ref{}, &FullError{Job: spec.ID, Driver: preferred, Open: open[preferred] + size, Limit: g.opts.MaxItemBytes}
}

// candidateDrivers returns the instances that may drive a new job, the preferred one first. A trainer's jobs keep the same driver
// while that instance is live, because it has connections to the engines. The first driver is another instance than this
// one, so that the loss of one instance rarely costs a client both its connection and its job's progress. The caller reads the index.
func (g *Registry) candidateDrivers(spec *Spec) []machine.Ref {
	candidates := g.opts.Drivers(spec.Host + "/" + spec.Model)
	if spec.Step < 0 {
		return candidates
	}
	var latest *Summary
	for _, s := range g.index.jobs {
		if s.Host == spec.Host && s.Model == spec.Model && s.Step >= 0 && (latest == nil || s.AcceptedAt().After(latest.AcceptedAt())) {
			latest = s
		}
	}
	if latest != nil && (latest.Driver == g.opts.Self || g.opts.AvailableInDataCentre(latest.Driver)) {
		candidates = append([]machine.Ref{latest.Driver}, candidates...)
	}
	return candidates
}
