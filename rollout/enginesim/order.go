package enginesim

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cicadasill/cicadasill/standalone/platform"
)

// SetStore makes the weight store unavailable or slow.
func (f *Fleet) SetStore(down bool, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeDown, f.storeTime = down, delay
}

// Transfers returns the completed loads into each region from outside of it.
func (f *Fleet) Transfers() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.transfers)
}

// MaxSwapping returns the largest number of engines that swapped at once.
func (f *Fleet) MaxSwapping() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.maxSwap
}

// FailSwaps makes the next n orders fail; a negative n makes all of them fail.
func (e *Engine) FailSwaps(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.failSwaps = n
}

// LoseAnswers makes the next n orders take effect without an answer.
func (e *Engine) LoseAnswers(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.loseSwaps = n
}

// HoldOrders keeps the next n arriving orders from starting until the returned function is called, as a
// connection with a long delay does. Orders whose sender gave up arrive then nevertheless.
func (e *Engine) HoldOrders(n int) (release func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	hold := make(chan struct{})
	e.holdOrders, e.holdNext = hold, n
	return func() {
		e.mu.Lock()
		late := e.delayed
		e.holdNext, e.delayed = 0, nil
		e.mu.Unlock()
		close(hold)
		for _, o := range late {
			// Nobody waits for the answer any more.
			_ = e.execute(o)
		}
	}
}

// Orders returns the orders that were started.
func (e *Engine) Orders() []platform.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.orders)
}

// Refused returns the orders that were refused for their fencing number or deadline.
func (e *Engine) Refused() []platform.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.lateOrders)
}

// Order implements platform.Engine.
func (f *Fleet) Order(ctx context.Context, addr string, o platform.Order) error {
	e := f.at(addr)
	if e == nil {
		return &platform.Error{Code: platform.NotSent, Op: "order", Err: errDown}
	}
	e.mu.Lock()
	var hold chan struct{}
	if e.holdNext > 0 {
		e.holdNext--
		hold = e.holdOrders
	}
	down, silent := e.down, e.silent
	e.mu.Unlock()
	if down {
		return &platform.Error{Code: platform.NotSent, Op: "order", Err: errDown}
	}
	if silent {
		<-ctx.Done()
		return &platform.Error{Code: platform.OutcomeUnknown, Op: "order", Err: ctx.Err()}
	}
	if hold != nil {
		select {
		case <-hold:
		case <-ctx.Done():
			e.mu.Lock()
			defer e.mu.Unlock()
			e.delayed = append(e.delayed, o)
			return &platform.Error{Code: platform.OutcomeUnknown, Op: "order", Err: ctx.Err()}
		}
	}
	return e.execute(o)
}

func (e *Engine) execute(o platform.Order) error {
	if err := e.accept(o); err != nil {
		return err
	}
	e.fleet.countSwap(1)
	err := e.carryOut(o)
	e.fleet.countSwap(-1)
	if err == nil && e.loses() {
		return &platform.Error{Code: platform.OutcomeUnknown, Op: "order"}
	}
	return err
}

func (f *Fleet) countSwap(delta int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.swapping += delta
	f.maxSwap = max(f.maxSwap, f.swapping)
}

// accept checks the order's fencing number and deadline.
func (e *Engine) accept(o platform.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	var err error
	switch {
	case time.Now().After(o.Deadline):
		err = errDeadline
	case e.opts.ChecksFencing && o.Fence < e.maxFence:
		err = errFence
	}
	if err != nil {
		e.lateOrders = append(e.lateOrders, o)
		return &platform.Error{Code: platform.Refused, Op: "order", Err: err}
	}
	e.maxFence = max(e.maxFence, o.Fence)
	e.orders = append(e.orders, o)
	return nil
}

func (e *Engine) carryOut(o platform.Order) error {
	e.mu.Lock()
	held, life := slices.Contains(e.held, o.Version), e.life
	e.mu.Unlock()
	if !held {
		e.fleet.reach(Load, e)
		if err := e.fleet.fetch(e, o); err != nil {
			return err
		}
		if err := e.wait(life, e.opts.LoadTime); err != nil {
			return err
		}
	}
	e.fleet.reach(Activate, e)
	e.mu.Lock()
	if e.failSwaps != 0 {
		e.failSwaps--
		e.mu.Unlock()
		return &platform.Error{Code: platform.Unavailable, Op: "order", Err: errSwap}
	}
	e.swap = true
	e.mu.Unlock()
	err := e.wait(life, e.opts.SwapTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.swap = false
	if err == nil {
		e.version = o.Version
		e.held = append(e.held, o.Version)
	}
	return err
}

func (e *Engine) wait(life chan struct{}, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-life:
		return &platform.Error{Code: platform.OutcomeUnknown, Op: "order", Err: errCrashed}
	case <-timer.C:
		return nil
	}
}

// fetch checks the source of the weights and counts transfers into the engine's region.
func (f *Fleet) fetch(e *Engine, o platform.Order) error {
	f.mu.Lock()
	down, delay := f.storeDown, f.storeTime
	f.mu.Unlock()
	if o.Source == "store" {
		if down {
			return &platform.Error{Code: platform.Unavailable, Op: "order", Err: errStore}
		}
		time.Sleep(delay)
		f.arrived(e)
		return nil
	}
	src := f.at(o.Source)
	if src == nil || !src.serves(o.Version) {
		return &platform.Error{Code: platform.Unavailable, Op: "order", Err: errSource}
	}
	if src.opts.Zone.Region != e.opts.Zone.Region {
		f.arrived(e)
	}
	return nil
}

func (f *Fleet) arrived(e *Engine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.transfers[e.opts.Zone.Region]++
}

func (e *Engine) serves(version int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.down && slices.Contains(e.held, version)
}

func (e *Engine) loses() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.loseSwaps == 0 {
		return false
	}
	e.loseSwaps--
	return true
}
