package enginesim

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/cicadasill/cicadasill/standalone/platform"
)

// SetStore makes the weight store unavailable, or delays each load from it.
func (f *Fleet) SetStore(down bool, delay time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeDown, f.storeDelay = down, delay
}

// Transfers returns the number of weight transfers into each region from the store or another region.
func (f *Fleet) Transfers() map[string]int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return maps.Clone(f.transfers)
}

// MaxSwapping returns the largest number of engines that executed an order at the same time.
func (f *Fleet) MaxSwapping() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.maxSwapping
}

// FailSwaps makes the next n orders fail when their weights are about to be activated; a negative n
// makes all of them fail.
func (e *Engine) FailSwaps(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.swapsToFail = n
}

// LoseAnswers makes the answers of the next n successful orders be lost: the orders take effect, but
// their senders get platform.OutcomeUnknown.
func (e *Engine) LoseAnswers(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.answersToLose = n
}

// HoldOrders delays the next n arriving orders until the returned function is called, as a slow
// connection does. Orders whose sender gave up meanwhile are executed then as well.
func (e *Engine) HoldOrders(n int) (release func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	released := make(chan struct{})
	e.ordersReleased, e.ordersToHold = released, n
	return func() {
		e.mu.Lock()
		abandoned := e.abandonedOrders
		e.ordersToHold, e.abandonedOrders = 0, nil
		e.mu.Unlock()
		close(released)
		for _, o := range abandoned {
			// The sender gave up, so nobody reads the error.
			_ = e.execute(o)
		}
	}
}

// Orders returns the orders that the engine admitted, in the order of their start.
func (e *Engine) Orders() []platform.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.startedOrders)
}

// RefusedOrders returns the orders that were refused because of their fencing token or deadline.
func (e *Engine) RefusedOrders() []platform.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.refusedOrders)
}

// Order implements platform.Engine.
func (f *Fleet) Order(ctx context.Context, addr string, o platform.Order) error {
	e := f.engineAt(addr)
	if e == nil {
		return &platform.Error{Code: platform.NotSent, Op: "order", Err: errDown}
	}
	e.mu.Lock()
	var released chan struct{}
	if e.ordersToHold > 0 {
		e.ordersToHold--
		released = e.ordersReleased
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
	if released != nil {
		select {
		case <-released:
		case <-ctx.Done():
			e.mu.Lock()
			defer e.mu.Unlock()
			e.abandonedOrders = append(e.abandonedOrders, o)
			return &platform.Error{Code: platform.OutcomeUnknown, Op: "order", Err: ctx.Err()}
		}
	}
	return e.execute(o)
}

// execute admits an order and carries it out. It returns platform.OutcomeUnknown when the order
// succeeds but its answer is to be lost.
func (e *Engine) execute(o platform.Order) error {
	if err := e.admit(o); err != nil {
		return err
	}
	e.fleet.countSwap(1)
	err := e.loadAndActivate(o)
	e.fleet.countSwap(-1)
	if err == nil && e.takeAnswerLoss() {
		return &platform.Error{Code: platform.OutcomeUnknown, Op: "order"}
	}
	return err
}

// countSwap adds delta to the number of engines that execute an order and updates the maximum.
func (f *Fleet) countSwap(delta int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.swapping += delta
	f.maxSwapping = max(f.maxSwapping, f.swapping)
}

// admit checks the fencing token and the deadline of an order and records it as started or refused.
func (e *Engine) admit(o platform.Order) error {
	e.mu.Lock()
	defer e.mu.Unlock()
	var err error
	switch {
	case time.Now().After(o.Deadline):
		err = errDeadlinePassed
	case e.opts.ChecksFencing && o.Fence < e.maxFence:
		err = errStaleFence
	}
	if err != nil {
		e.refusedOrders = append(e.refusedOrders, o)
		return &platform.Error{Code: platform.Refused, Op: "order", Err: err}
	}
	e.maxFence = max(e.maxFence, o.Fence)
	e.startedOrders = append(e.startedOrders, o)
	return nil
}

// loadAndActivate loads the weights of an order unless the engine holds them, then swaps to them.
func (e *Engine) loadAndActivate(o platform.Order) error {
	e.mu.Lock()
	held, reset := slices.Contains(e.held, o.Version), e.reset
	e.mu.Unlock()
	if !held {
		e.fleet.runHook(Load, e)
		if err := e.fleet.fetch(e, o); err != nil {
			return err
		}
		if err := e.sleepUnlessReset(reset, e.opts.LoadTime); err != nil {
			return err
		}
	}
	e.fleet.runHook(Activate, e)
	e.mu.Lock()
	if e.swapsToFail != 0 {
		e.swapsToFail--
		e.mu.Unlock()
		return &platform.Error{Code: platform.Unavailable, Op: "order", Err: errSwapFailed}
	}
	e.swapping = true
	e.mu.Unlock()
	err := e.sleepUnlessReset(reset, e.opts.SwapTime)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.swapping = false
	if err == nil {
		e.version = o.Version
		e.held = append(e.held, o.Version)
	}
	return err
}

// sleepUnlessReset waits for d, or fails with platform.OutcomeUnknown when reset is closed.
func (e *Engine) sleepUnlessReset(reset chan struct{}, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-reset:
		return &platform.Error{Code: platform.OutcomeUnknown, Op: "order", Err: errCrashed}
	case <-timer.C:
		return nil
	}
}

// fetch checks that the source of an order's weights is available, and counts transfers into the
// engine's region from outside it.
func (f *Fleet) fetch(e *Engine, o platform.Order) error {
	f.mu.Lock()
	down, delay := f.storeDown, f.storeDelay
	f.mu.Unlock()
	if o.Source == "store" {
		if down {
			return &platform.Error{Code: platform.Unavailable, Op: "order", Err: errStoreUnavailable}
		}
		time.Sleep(delay)
		f.countTransfer(e)
		return nil
	}
	src := f.engineAt(o.Source)
	if src == nil || !src.holdsVersion(o.Version) {
		return &platform.Error{Code: platform.Unavailable, Op: "order", Err: errSourceLacksVersion}
	}
	if src.opts.Zone.Region != e.opts.Zone.Region {
		f.countTransfer(e)
	}
	return nil
}

func (f *Fleet) countTransfer(e *Engine) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.transfers[e.opts.Zone.Region]++
}

// holdsVersion reports whether another engine can load the weights of version from this one.
func (e *Engine) holdsVersion(version int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return !e.down && slices.Contains(e.held, version)
}

// takeAnswerLoss reports whether the answer of the present order is to be lost, and counts it.
func (e *Engine) takeAnswerLoss() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.answersToLose == 0 {
		return false
	}
	e.answersToLose--
	return true
}
