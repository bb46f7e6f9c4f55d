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

// checkTarget probes a target directly, then through other members, and suspects it if neither
// succeeds. A candidate from the instance list is probed directly only; if it answers, the two
// instances exchange their tables.
func (m *Members) checkTarget(ctx context.Context, target machine.Instance, isCandidate bool) {
	if m.probe(ctx, target) {
		m.metrics.probes.WithLabelValues("direct").Inc()
		if isCandidate {
			m.syncWith(ctx, target.ID)
		}
		return
	}
	if isCandidate || ctx.Err() != nil {
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
	m.markSuspect(target)
}

// probe reports whether the target answered. An answer from a newer run of the target's id counts
// as well, because its update replaces the old run in the table.
func (m *Members) probe(ctx context.Context, target machine.Instance) bool {
	answer, err := m.sendProbe(ctx, target, nil)
	if err == nil {
		m.receiveUpdates(answer.GetUpdates(), answer.GetPiggyback())
		return true
	}
	var linkErr *link.Error
	// The error names no instance if the peer belongs to another deployment; such a peer is not
	// added to the table.
	if errors.As(err, &linkErr) && linkErr.Code == link.WrongPeer && linkErr.Actual.ID != "" {
		m.mu.Lock()
		defer m.mu.Unlock()
		m.applyLocked(&wire.MemberUpdate{Instance: link.ToWire(linkErr.Actual), State: stateLive})
		return linkErr.Actual.ID == target.ID && linkErr.Actual.Incarnation > target.Incarnation
	}
	return false
}

// sendProbe sends a probe to an instance and returns its answer. If indirectTarget is set, the
// receiver is asked to probe that instance.
func (m *Members) sendProbe(ctx context.Context, to machine.Instance, indirectTarget *machine.Instance) (*wire.ProbeAnswer, error) {
	m.mu.Lock()
	probe := &wire.Probe{Updates: m.selectUpdatesLocked(to)}
	m.mu.Unlock()
	probe.Piggyback = m.outgoingPiggyback()
	timeout := m.opts.ProbeTimeout
	if indirectTarget != nil {
		probe.IndirectTarget = link.ToWire(*indirectTarget)
		timeout = m.opts.IndirectTimeout
	}
	payload, err := proto.Marshal(probe)
	if err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	data, err := m.node.Call(ctx, to, link.CauseProbe, probeMethod, payload)
	if err != nil {
		return nil, err
	}
	var answer wire.ProbeAnswer
	return &answer, proto.Unmarshal(data, &answer)
}

// probeIndirectly asks other members to probe the target and reports whether one of them reached
// it. It prevents a false suspicion when only the path between this instance and the target fails.
func (m *Members) probeIndirectly(ctx context.Context, target machine.Instance) bool {
	helpers := m.randomPeers(indirectProbes, target.ID)
	alive := make(chan bool, len(helpers))
	var wg conc.WaitGroup
	for _, h := range helpers {
		wg.Go(func() {
			a, err := m.sendProbe(ctx, h, &target)
			if err == nil {
				m.receiveUpdates(a.GetUpdates(), a.GetPiggyback())
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

// markSuspect moves a live member to the suspect state. It does nothing if the table holds another
// run or another state by now.
func (m *Members) markSuspect(target machine.Instance) {
	m.mu.Lock()
	defer m.mu.Unlock()
	e := m.table[target.ID]
	if e == nil || e.inst.Incarnation != target.Incarnation || e.state != stateLive {
		return
	}
	u := e.update()
	u.State = stateSuspect
	m.applyLocked(u)
}

// randomPeers returns up to limit random live members, without self and the excluded id.
func (m *Members) randomPeers(limit int, excludedID string) []machine.Instance {
	var out []machine.Instance
	for _, i := range m.Live() {
		if i.ID != m.self.ID && i.ID != excludedID {
			out = append(out, i)
		}
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.rng.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out[:min(limit, len(out))]
}

// handleProbe serves probeMethod. It probes the indirect target, if there is one, before it
// answers.
func (m *Members) handleProbe(ctx context.Context, payload []byte) ([]byte, error) {
	var p wire.Probe
	if err := proto.Unmarshal(payload, &p); err != nil {
		return nil, err
	}
	from := m.receiveUpdates(p.GetUpdates(), p.GetPiggyback())
	a := &wire.ProbeAnswer{}
	if p.IndirectTarget != nil {
		a.IndirectAlive = m.probe(ctx, link.FromWire(p.IndirectTarget))
	}
	a.Piggyback = m.outgoingPiggyback()
	m.mu.Lock()
	a.Updates = m.selectUpdatesLocked(from)
	m.mu.Unlock()
	return proto.Marshal(a)
}
