// Package reward decides how the reward calls of complete texts are made: which waiting call is sent next,
// how many are in flight at a service, how long a call may take, and when a failed call is repeated or its
// text given up. It performs no calls itself. Batch jobs and the rollouts of the own interface use it.
//
// Load pattern: a trainer's texts have similar lengths, so at the end of a step tens of them complete within
// a few hundred milliseconds, and each needs a call to a small service that people's requests share.
package reward

import (
	"time"
)

// Waiting is a complete text whose reward call has not been sent.
type Waiting struct {
	// StepStart is the time at which the text's step was submitted.
	StepStart time.Time
	// GroupPending is the number of texts of the group that have no result, this one included.
	GroupPending int
}

// Before reports whether the call of w is sent before that of other: the older step first, and within a
// step the text whose group is nearest to completion. Trainers use only whole groups, so calls spread over
// many groups would complete all of them late.
func (w Waiting) Before(other Waiting) bool {
	if !w.StepStart.Equal(other.StepStart) {
		return w.StepStart.Before(other.StepStart)
	}
	return w.GroupPending < other.GroupPending
}

// serviceShare is the fraction of a service's slots that reward calls may take, so that people's requests
// find free slots during a burst of calls.
const serviceShare = 0.5

// Share returns how many reward calls one of several instances may have in flight at a service whose back
// ends have the given number of slots together. It is at least 1.
func Share(slots, instances int) int {
	return max(1, int(serviceShare*float64(slots))/max(1, instances))
}

// nextWindow returns the number of calls in flight that follows the outcome of a call. A refusal or a
// timeout shows that the service is overloaded or slow and halves it; an answer raises it by one, up to
// limit.
func nextWindow(window, limit int, overloaded bool) int {
	if overloaded {
		return max(1, min(window, limit)/2)
	}
	return min(limit, window+1)
}

// Deadline returns the time by which a call that is sent at now must be answered, given the service's
// latency objective and timeout. It is the time at which the step is due, as long as the call can meet it,
// and otherwise the time at which the text may be given up; a zero time sets no bound.
func Deadline(now, due, giveUp time.Time, objective, timeout time.Duration) time.Time {
	latest := giveUp
	if due.Sub(now) >= objective {
		latest = due
	}
	deadline := now.Add(timeout)
	if timeout <= 0 || (!latest.IsZero() && latest.Before(deadline)) {
		return latest
	}
	return deadline
}

// Policy decides what follows a failed call.
type Policy struct {
	// MinDelay and MaxDelay bound the delay before the next call, which doubles with each failure.
	MinDelay, MaxDelay time.Duration
	// Failures is the number of runs that failed at the service after which the text is given up; 0 means
	// that it never is for that reason.
	Failures int
	// GiveUp is the time at which the text is given up; zero means never.
	GiveUp time.Time
}

// Next returns the delay before the next call after a number of unsuccessful calls, the last of which ended
// at now. failedRuns is the number of runs that failed at the service itself; refusals, timeouts and lost
// answers do not count. again is false if the text is given up.
func (p Policy) Next(now time.Time, calls, failedRuns int) (delay time.Duration, again bool) {
	if p.Failures > 0 && failedRuns >= p.Failures {
		return 0, false
	}
	if !p.GiveUp.IsZero() && !now.Before(p.GiveUp) {
		return 0, false
	}
	delay = p.MinDelay
	for range calls - 1 {
		if delay >= p.MaxDelay {
			break
		}
		delay *= 2
	}
	return min(delay, p.MaxDelay), true
}
