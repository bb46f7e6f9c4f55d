package entry_test

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/control"
	"github.com/cicadasill/cicadasill/lease"
	"github.com/cicadasill/cicadasill/operator"
	"github.com/cicadasill/cicadasill/release"
)

// checkInterval is how often monitorInvariants checks each instance.
const checkInterval = 100 * time.Millisecond

// monitorInvariants checks all live instances until ctx ends: the applied catalog revision never
// decreases, and no instance that has applied the withdrawal of service "old" still shows it.
func (c *cluster) monitorInvariants(ctx context.Context) {
	ticker := time.NewTicker(checkInterval)
	defer ticker.Stop()
	for ctx.Err() == nil {
		for _, m := range c.live() {
			revision := m.instance.CatalogRevision()
			if revision < m.maxRevision {
				c.report("instance %s went from revision %d back to %d", m.id, m.maxRevision, revision)
			}
			m.maxRevision = max(m.maxRevision, revision)
			if _, err := operator.NewClient(m.instance.AdminAddr()).Service(ctx, "old"); err == nil && revision >= c.oldWithdrawnAt {
				c.report("instance %s shows the withdrawn service at revision %d", m.id, revision)
			}
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// checkFinalState publishes a last note and a last version, waits until all instances agree with the
// log, and then checks the verdicts that operators got and the orders that engines carried out.
func (c *cluster) checkFinalState() {
	c.t.Helper()
	c.awaitMembership()
	c.publishNote(c.newNote("last", c.logState().Catalog.Revision(), func(n *release.Note) { n.Withdrawn = []string{"desk"} }))
	c.announce(3)
	diff := "a duty is not held by a live instance"
	defer func() {
		if c.t.Failed() {
			c.t.Log("last difference:", diff)
		}
	}()
	c.waitUntil("all instances show the log's state", func() bool {
		for _, m := range c.live() {
			if diff = c.diffFromLog(m); diff != "" {
				return false
			}
		}
		return c.allHoldersLive()
	})
	c.checkVerdicts()
	c.checkOrders()
}

// diffFromLog describes how the state that an instance shows to operators differs from the log's
// records, or returns an empty string.
func (c *cluster) diffFromLog(m *member) string {
	client := operator.NewClient(m.instance.AdminAddr())
	status, err := client.Status(c.t.Context())
	if err != nil {
		return err.Error()
	}
	replayed := control.Empty()
	for _, r := range c.controlRecords() {
		if r.Offset < status.ControlOffset {
			replayed = replayed.Apply(r)
		}
	}
	if chain := fmt.Sprintf("%016x", replayed.Chain); chain != status.ControlChain {
		c.report("instance %s has chain %s at offset %d, the log has %s", m.id, status.ControlChain, status.ControlOffset, chain)
	}
	services, err := client.Services(c.t.Context())
	if err != nil {
		return err.Error()
	}
	notes, err := client.Notes(c.t.Context())
	if err != nil {
		return err.Error()
	}
	return c.catalogDiff(m.id, status.CatalogRevision, services, notes)
}

// catalogDiff compares the catalog that an instance shows with that of the log. The log is read after
// the instance, so the instance cannot have applied more records.
func (c *cluster) catalogDiff(id string, revision int64, services []contract.Service, notes []operator.NoteRecord) string {
	expected := c.logState().Catalog
	for _, n := range notes {
		if v, ok := expected.Verdict(n.ID); !ok || v != n.Verdict {
			c.report("instance %s has verdict %+v on %s, the log gives %+v", id, n.Verdict, n.ID, v)
		}
	}
	if revision != expected.Revision() || len(notes) != len(expected.Verdicts()) {
		return fmt.Sprintf("%s has revision %d and %d verdicts, the log %d and %d",
			id, revision, len(notes), expected.Revision(), len(expected.Verdicts()))
	}
	shownJSON, _ := json.Marshal(services)
	expectedJSON, _ := json.Marshal(expected.Services())
	if string(shownJSON) != string(expectedJSON) {
		return fmt.Sprintf("%s has services %s, the log gives %s", id, shownJSON, expectedJSON)
	}
	return ""
}

// allHoldersLive reports whether each duty in the log is held by a live instance.
func (c *cluster) allHoldersLive() bool {
	leases := c.logState().Leases
	incarnations := map[string]uint64{}
	for _, m := range c.live() {
		if status, err := operator.NewClient(m.instance.AdminAddr()).Status(c.t.Context()); err == nil {
			incarnations[m.id] = status.Incarnation
		}
	}
	for _, duty := range leases.Duties() {
		if l, _ := leases.Get(duty); l.Released || incarnations[l.Holder.ID] != l.Holder.Incarnation {
			return false
		}
	}
	return true
}

// checkVerdicts compares the verdicts that operators got with those in the log. Only racing notes may
// be refused: a repeated publication must not be taken for a second note.
func (c *cluster) checkVerdicts() {
	expected := c.logState().Catalog
	c.mu.Lock()
	defer c.mu.Unlock()
	for id, got := range c.verdicts {
		if !got.Accepted && !strings.HasPrefix(id, racePrefix) {
			c.errs = append(c.errs, fmt.Sprintf("note %s was refused: %+v", id, got))
		}
		if want, ok := expected.Verdict(id); !ok || want != got {
			c.errs = append(c.errs, fmt.Sprintf("operator was told %+v of note %s, the log gives %+v", got, id, want))
		}
	}
}

// checkOrders checks that the orders that an engine carried out have fencing tokens of leases that were
// granted in the log, and that the tokens never decrease.
func (c *cluster) checkOrders() {
	granted := map[string]bool{}
	state := control.Empty()
	for _, r := range c.controlRecords() {
		state = state.Apply(r)
		for _, duty := range state.Leases.Duties() {
			l, _ := state.Leases.Get(duty)
			granted[fmt.Sprintf("%s %d", duty, l.Epoch)] = true
		}
	}
	for service, e := range c.engines {
		orders, maxFence := e.Ledger().Orders(), int64(-1)
		slices.SortStableFunc(orders, func(a, b orderRecord) int { return a.Started.Compare(b.Started) })
		for _, o := range orders {
			if o.Started.IsZero() {
				continue
			}
			if o.Order.Fence < maxFence {
				c.report("engine %s carried out an order with fencing token %d after one with %d", service, o.Order.Fence, maxFence)
			}
			maxFence = max(maxFence, o.Order.Fence)
			if !granted[fmt.Sprintf("%s%s %d", lease.OrdersPrefix, service, o.Order.Fence)] {
				c.report("engine %s carried out an order with fencing token %d, which the log never granted", service, o.Order.Fence)
			}
		}
		if maxFence < 0 {
			c.report("engine %s carried out no order", service)
		}
	}
}
