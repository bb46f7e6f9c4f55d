package membership

import (
	"context"
	"time"
)

// pauseChecksPerLimit is how many ticks fit into the pause limit.
const pauseChecksPerLimit = 8

// Paused returns a new channel that receives the length of each pause of this process longer than
// the pause limit. After such a pause, lease holders and log readers must read the log again. The
// channel buffers the longest pause that has not been received.
func (m *Members) Paused() <-chan time.Duration {
	ch := make(chan time.Duration, 1)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.pauseSubscribers = append(m.pauseSubscribers, ch)
	return ch
}

// watchPauses detects pauses of the process by comparing the monotonic time between two ticks with
// the pause limit.
func (m *Members) watchPauses(ctx context.Context) {
	t := time.NewTicker(max(m.opts.PauseLimit/pauseChecksPerLimit, time.Millisecond))
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

// reportPause notifies the subscribers of a pause. It also restarts the suspicion timeouts and
// permits the next table exchange at once, because the view may be out of date.
func (m *Members) reportPause(now time.Time, gap time.Duration) {
	m.log.Warn("process pause detected", "for", gap)
	m.mu.Lock()
	defer m.mu.Unlock()
	m.restartSuspicionsLocked(now)
	m.lastSync = time.Time{}
	for _, ch := range m.pauseSubscribers {
		longest := gap
		select {
		case old := <-ch:
			longest = max(longest, old)
		default:
		}
		ch <- longest
	}
}
