package job

import "github.com/cicadasill/cicadasill/machine"

// OpenItemBytes returns the size of the items of the open jobs that this instance drives.
func (g *Registry) OpenItemBytes() int64 {
	open := int64(0)
	g.indexReplica.View(func() { open = g.openItems()[g.opts.Self].bytes })
	return open
}

// Classes of jobs by the size of their items, as parts of MaxItemBytes.
const (
	// largeDivisor: jobs beyond this part are large.
	largeDivisor = 8
	// besideDivisor: a large job has room whatever its size beside other jobs that take up to this part together.
	besideDivisor = 4
)

// openItems is what the open jobs of a driver take.
type openItems struct {
	bytes int64
	large int // jobs
}

// add adds a job.
func (o *openItems) add(size int64, large bool) {
	o.bytes += size
	if large {
		o.large++
	}
}

// isLarge reports whether a job of the given size is large.
func (g *Registry) isLarge(size int64) bool { return size > g.opts.MaxItemBytes/largeDivisor }

// openItems returns what the open jobs take, by their drivers. The caller reads the index.
func (g *Registry) openItems() map[machine.Ref]openItems {
	open := map[machine.Ref]openItems{}
	for _, s := range g.index.jobs {
		if !s.Open() {
			continue
		}
		o := open[s.Driver]
		o.add(s.ItemBytes, g.isLarge(s.ItemBytes))
		open[s.Driver] = o
	}
	return open
}

// hasRoom reports whether a driver whose open jobs take open can hold another job with size bytes. One job has room wherever no other large
// one is open, so that no job is too large for all.
func (g *Registry) hasRoom(open openItems, size int64) bool {
	limit := g.opts.MaxItemBytes
	return limit == 0 || open.bytes+size <= limit || (open.large == 0 && open.bytes <= limit/besideDivisor)
}

// chooseDriver returns the driver of a new job with size bytes of items: the preferred one of those that have room. It returns
// *FullError if none has, and for a large job while another one waits for an instance to take it over. The caller reads the index.
func (g *Registry) chooseDriver(spec *Spec, size int64) (machine.Ref, error) {
	open, candidates := g.openItems(), g.candidateDrivers(spec)
	preferred := candidates[0]
	full := &FullError{Job: spec.ID, Driver: preferred, Open: open[preferred].bytes + size, Limit: g.opts.MaxItemBytes}
	if g.isLarge(size) && g.hasLargeOrphan(open) {
		return machine.Ref{}, full
	}
	for _, driver := range candidates {
		if g.hasRoom(open[driver], size) {
			return driver, nil
		}
	}
	return machine.Ref{}, full
}

// hasLargeOrphan reports whether the driver of a large open job is dead. The caller reads the index.
func (g *Registry) hasLargeOrphan(open map[machine.Ref]openItems) bool {
	if g.opts.Peers == nil || g.opts.MaxItemBytes == 0 {
		return false
	}
	for driver, o := range open {
		if o.large > 0 && g.opts.Peers.Dead(driver) {
			return true
		}
	}
	return false
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
