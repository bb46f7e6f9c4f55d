package presence

// Weak instances.
//
// Load pattern: the machines of a deployment differ in processor time by a factor of four to six. An instance that drives a job
// handles each event of some hundred streams; on the weakest machines that alone takes the processor time that they have, and each
// event is late. So work that any instance can do for all goes to the others while they are there.

// weakRatio is the fraction of the processor time of the strongest instance below which an instance is weak. Machines of one class
// do not differ by that much.
const weakRatio = 0.5

// isWeak reports whether an instance has much less processor time than the strongest one. What is not known is not weak.
func isWeak(processors, most float64) bool { return processors > 0 && processors < weakRatio*most }

// mostProcessors returns the processor time of the strongest instance that takes new work. The caller holds mu.
func (t *Table) mostProcessors() float64 {
	most := 0.0
	if !t.draining {
		most = t.processors
	}
	for id, s := range t.byID {
		if id != t.self.ID && s.Processors > most && t.acceptsWork(&s) {
			most = s.Processors
		}
	}
	return most
}

// StateProcessors makes this instance's records state the processor time that it may use, in cores. It must be called before Run.
func (t *Table) StateProcessors(cores float64) { t.processors = cores }

// compareBool orders false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}
