package forward

// attempts accounts for the back ends that one client's attempt may reach. A send counts from its start, and for good unless the
// back end has not run the request: a send in flight may run as well as one whose outcome is unknown.
type attempts struct {
	limit    int
	inFlight int
	// possibleRuns is the number of ended sends that may have run.
	possibleRuns int
}

// allowOneMore reports whether the request may be sent to one more back end.
func (a *attempts) allowOneMore() bool { return a.inFlight+a.possibleRuns < a.limit }

// begin counts a send. Each call must be followed by one call of endRefused or endPossiblyRun.
func (a *attempts) begin() { a.inFlight++ }

// endRefused ends a send that the back end has not run.
func (a *attempts) endRefused() { a.inFlight-- }

// endPossiblyRun ends a send that the back end has run or may have run.
func (a *attempts) endPossiblyRun() {
	a.inFlight--
	a.possibleRuns++
}
