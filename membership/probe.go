package membership

import (
	"context"
	"errors"

	"github.com/sourcegraph/conc"
	"google.golang.org/protobuf/proto"

	"github.com/cicadasill/cicadasill/link"
	"github.com/cicadasill/cicadasill/link/wire"
	"github.com/cicadasill/cicadasill/machine"
)

// check probes one target of a period and draws the conclusion.
func (m *Members) check(ctx context.Context, target machine.Instance, candidate bool) {
	if m.probe(ctx, target) {
		m.metrics.probes.WithLabelValues("direct").Inc()
		if candidate {
			m.syncWith(ctx, target.ID)
		}
		return
	}
	if candidate || ctx.Err() != nil {
		return
	}
	if m.probeIndirectly(ctx, target) {
		m.metrics.probes.WithLabelValues("indirect").Inc()
		return
	}
	if ctx.Err() != nil {
		return
	}
	m.metrics.probes.WithLabelValues("missed").Inc()
	m.suspect(target)
}

// probe reports whether the target answered. An answer by a newer run of the target's id counts,
// since its statement replaces the old run.
func (m *Members) probe(ctx context.Context, target machine.Instance) bool {
	answer, err := m.exchange(ctx, target, nil)
	if err == nil {
		m.absorb(answer.GetUpdates(), answer.GetPiggyback())
		return true
	}
	var le *link.Error
	// An instance of another deployment is not named and not learned.
	if errors.As(err, &le) && le.Code == link.WrongPeer && le.Actual.ID != "" {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.applyLocked(&wire.MemberUpdate{Instance: link.ToWire(le.Actual), State: live})
		return le.Actual.ID == target.ID && le.Actual.Incarnation > target.Incarnation
	}
	return false
}

func (m *Members) exchange(ctx context.Context, to machine.Instance, indirect *machine.Instance) (*wire.ProbeAnswer, error) {
	m.mu.Lock()
	p := &wire.Probe{Updates: m.updatesLocked(to.ID)}
	m.mu.Unlock()
	p.Piggyback = m.piggyback()
	timeout := m.opts.ProbeTimeout
	if indirect != nil {
		p.IndirectTarget = link.ToWire(*indirect)
		timeout = m.opts.IndirectTimeout
	}
	payload, err := proto.Marshal(p)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	got, err := m.node.Call(ctx, to, link.CauseProbe, probeMethod, payload)
	if err != nil {
		return nil, err
	}
	var a wire.ProbeAnswer
	return &a, proto.Unmarshal(got, &a)
}

// probeIndirectly asks other members to probe the target; it covers a cut between this instance
// and the target alone.
func (m *Members) probeIndirectly(ctx context.Context, target machine.Instance) bool {
	helpers := m.pickOthers(indirectProbes, target.ID)
	alive := make(chan bool, len(helpers))
	var wg conc.WaitGroup
	for _, h := range helpers {
		wg.Go(func() {
			a, err := m.exchange(ctx, h, &target)
			if err == nil {
				m.absorb(a.GetUpdates(), a.GetPiggyback())
			}
			alive <- err == nil && a.GetIndirectAlive()
		})
	}
	wg.Wait()
	close(alive)
	for ok := range alive {
		if ok {
			return true
		}
	}
	return false
}

func (m *Members) suspect(target machine.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.table[target.ID]
	if e == nil || e.inst.Incarnation != target.Incarnation || e.state != live {
		return
	}
	u := e.update()
	u.State = suspect
	m.applyLocked(u)
}

// pickOthers returns up to n random live members other than self and except.
func (m *Members) pickOthers(n int, except string) []machine.Instance {
	var out []machine.Instance
	for _, i := range m.Live() {
		if i.ID != m.self.ID && i.ID != except {
			out = append(out, i)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(n, len(out))]
}

func (m *Members) handleProbe(ctx context.Context, payload []byte) ([]byte, error) {
	var p wire.Probe
	if err := proto.Unmarshal(payload, &p); err != nil {
		return nil, err
	}
	from := m.absorb(p.GetUpdates(), p.GetPiggyback())
	a := &wire.ProbeAnswer{}
	if p.IndirectTarget != nil {
		a.IndirectAlive = m.probe(ctx, link.FromWire(p.IndirectTarget))
	}
	a.Piggyback = m.piggyback()
	m.mu.Lock()
	a.Updates = m.updatesLocked(from.ID)
	m.mu.Unlock()
	return proto.Marshal(a)
}
