package job

import "sync"

// flushGroup runs the flushes of results. Unlike with a wait group, a flush may start from none while another goroutine waits.
type flushGroup struct {
	mu      sync.Mutex // guards the fields below
	running int
	idle    chan struct{} // closed when no flush runs any more; nil if nobody waits
}

// Go runs f in a goroutine.
func (g *flushGroup) Go(f func()) {
	g.mu.Lock()
	g.running++
	g.mu.Unlock()
	go func() {
		defer g.end()
		f()
	}()
}

func (g *flushGroup) end() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.running--; g.running == 0 && g.idle != nil {
		close(g.idle)
		g.idle = nil
	}
}

// Wait waits until no flush runs.
func (g *flushGroup) Wait() {
	g.mu.Lock()
	if g.running == 0 {
		g.mu.Unlock()
		return
	}
	if g.idle == nil {
		g.idle = make(chan struct{})
	}
	idle := g.idle
	g.mu.Unlock()
	<-idle
}
