package provision

import (
	"errors"
	"time"

	"github.com/cicadasill/cicadasill/backends"
)

const (
	// absenceGrace is how long a back end without an entry still counts as there: live back ends rewrite the entries that an
	// outage of the store has removed within two seconds.
	absenceGrace = 2500 * time.Millisecond
	// missingMemory is how long a back end that has vanished without a notice is added to orders. Its process may restart, and until then the
	// platform counts it, so that an order without it would take another one away.
	missingMemory = 30 * time.Second
	// lateMargin is the time beyond the boot time after which entries show the effect of an order. Calls that were not answered are
	// executed seconds late.
	lateMargin = 2 * time.Second
	// orderPause is the shortest time between two orders on a subject.
	orderPause = time.Second
	// minRefusedWait is how long no back ends are ordered of a pool after a refusal. It is longer than the holder of a duty may go without a
	// renewal, so a later order proves that the refusal was not for a higher token. It doubles with each further refusal up
	// to maxRefusedWait.
	minRefusedWait = 2 * time.Second
	maxRefusedWait = 16 * time.Second
)

// ledger is what the holder knows of one service: the back ends that entries show, and the orders whose effect they don't show yet. Times
// are since boot.
type ledger struct {
	boot     time.Duration
	seen     map[string]sighting
	subjects map[backends.Pool]*subject
}

// sighting is when a back end's entry was last there.
type sighting struct {
	pool backends.Pool
	at   time.Duration
}

// subject is the state of the orders on one pool.
type subject struct {
	inFlight bool
	// pending is the newest order whose effect entries don't show; nil if there is none.
	pending   *pendingOrder
	orderedAt time.Duration
	// avoidUntil is the end of the time in which no back ends are ordered here; failures counts the orders in a row without effect.
	avoidUntil time.Duration
	failures   int
}

type pendingOrder struct {
	count int // without missing back ends
	until time.Duration
	// uncertain states that the call was not answered.
	uncertain bool
}

func newLedger(boot time.Duration) *ledger {
	return &ledger{boot: boot, seen: map[string]sighting{}, subjects: map[backends.Pool]*subject{}}
}

func (l *ledger) subject(pool backends.Pool) *subject {
	s := l.subjects[pool]
	if s == nil {
		s = &subject{}
		l.subjects[pool] = s
	}
	return s
}

// observe records the back ends that entries show and settles the orders that they confirm.
func (l *ledger) observe(now time.Duration, present map[backends.Pool][]string, leaving []string) {
	for pool, ids := range present {
		for _, id := range ids {
			l.seen[id] = sighting{pool, now}
		}
	}
	for _, id := range leaving {
		delete(l.seen, id)
	}
	for id, s := range l.seen {
		if now-s.at > missingMemory {
			delete(l.seen, id)
		}
	}
	counts := l.present(now)
	for pool, s := range l.subjects {
		if s.pending == nil || s.inFlight {
			continue
		}
		switch {
		case counts[pool] == s.pending.count && !s.pending.uncertain:
			s.pending, s.failures = nil, 0
		case now < s.pending.until:
		case counts[pool] == s.pending.count:
			s.pending, s.failures = nil, 0
		default:
			s.fail(now)
		}
	}
}

// present returns the back ends that are there, by pool.
func (l *ledger) present(now time.Duration) map[backends.Pool]int {
	counts := map[backends.Pool]int{}
	for _, s := range l.seen {
		if now-s.at <= absenceGrace {
			counts[s.pool]++
		}
	}
	return counts
}

// missing returns how many back ends of a pool have vanished without a notice.
func (l *ledger) missing(now time.Duration, pool backends.Pool) int {
	n := 0
	for _, s := range l.seen {
		if s.pool == pool && now-s.at > absenceGrace {
			n++
		}
	}
	return n
}

// expected returns the back ends that will be there once the pending orders are carried out.
func (l *ledger) expected(now time.Duration) map[backends.Pool]int {
	counts := l.present(now)
	for pool, s := range l.subjects {
		if s.pending != nil {
			counts[pool] = s.pending.count
		}
	}
	return counts
}

// isChanging reports whether any order is under way.
func (l *ledger) isChanging() bool {
	for _, s := range l.subjects {
		if s.pending != nil {
			return true
		}
	}
	return false
}

// refused returns the pools in which no back ends should be ordered now.
func (l *ledger) refused(now time.Duration) map[backends.Pool]bool {
	refused := map[backends.Pool]bool{}
	for pool, s := range l.subjects {
		if now < s.avoidUntil || (s.pending != nil && s.pending.uncertain) {
			refused[pool] = true
		}
	}
	return refused
}

// due reports whether an order for the wanted number may be sent now, and the number that it states: it includes the back ends that have
// vanished without a notice.
func (l *ledger) due(now time.Duration, pool backends.Pool, wanted int) (count int, due bool) {
	s := l.subject(pool)
	missing := l.missing(now, pool)
	switch {
	case s.inFlight, now < s.avoidUntil, s.pending != nil && s.pending.uncertain, s.orderedAt != 0 && now-s.orderedAt < orderPause:
		return 0, false
	case wanted < l.expected(now)[pool] && missing > 0:
		return 0, false // the platform may choose the ones that are there
	}
	return wanted + missing, wanted != l.expected(now)[pool]
}

// begin records that an order for the wanted number is being sent.
func (l *ledger) begin(now time.Duration, pool backends.Pool, wanted int) {
	s := l.subject(pool)
	s.inFlight, s.orderedAt = true, now
	s.pending = &pendingOrder{count: wanted, until: now + l.boot + lateMargin, uncertain: true}
}

// finish records the outcome of the order that begin has recorded.
func (l *ledger) finish(now time.Duration, pool backends.Pool, err error) {
	s := l.subject(pool)
	s.inFlight = false
	if s.pending == nil {
		return
	}
	s.pending.until = now + l.boot + lateMargin
	switch {
	case err == nil:
		s.pending.uncertain = false
	case errors.Is(err, ErrRefused):
		s.fail(now)
	}
}

// cancel withdraws the order that begin has recorded, because it was not sent.
func (l *ledger) cancel(pool backends.Pool) {
	s := l.subject(pool)
	s.inFlight, s.pending = false, nil
}

// fail ends the pending order, which had no effect. The pool gets no orders for a time that doubles with each failure.
func (s *subject) fail(now time.Duration) {
	s.pending = nil
	s.avoidUntil = now + min(maxRefusedWait, minRefusedWait<<min(s.failures, 8))
	s.failures++
}
