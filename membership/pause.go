package membership

import (
	"context"
	"time"
)

// pauseChecks is how many ticks fit into the pause limit.
const pauseChecks = 8

// Paused returns a new channel that receives the length of each pause of this process that was
// longer than the pause limit. A holder of leases and a tail of the log re-read the log then.
// The channel holds the longest pause not yet received.
func (m *Members) Paused() <-chan time.Duration {
	ch := make(chan time.Duration, 1)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.paused = append(m.paused, ch)
	return ch
}

// watchPauses compares the monotonic time between ticks with the limit.
func (m *Members) watchPauses(ctx context.Context) {
	t := time.NewTicker(max(m.opts.PauseLimit/pauseChecks, time.Millisecond))
	defer t.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := time.Now()
		if gap := now.Sub(last); gap > m.opts.PauseLimit {
			m.reportPause(now, gap)
		}
		last = now
	}
}

func (m *Members) reportPause(now time.Time, gap time.Duration) {
	m.log.Warn("this instance was paused", "for", gap)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.restartSuspicionsLocked(now)
	m.lastSync = time.Time{}
	for _, ch := range m.paused {
		longest := gap
		select {
		case old := <-ch:
			longest = max(longest, old)
		default:
		}
		ch <- longest
	}
}
