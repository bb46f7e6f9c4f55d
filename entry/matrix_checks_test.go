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

// watchPeriod is how often an operator looks at each instance.
const watchPeriod = 100 * time.Millisecond

// watch looks at all live instances until ctx ends: an applied revision never goes back, and
// the service withdrawn at the start is at no instance that has applied its withdrawal.
func (w *world) watch(ctx context.Context) {
	ticker := time.NewTicker(watchPeriod)
	defer ticker.Stop()
	for ctx.Err() == nil {
		for _, m := range w.live() {
			revision := m.instance.CatalogRevision()
			if revision < m.high {
				w.report("instance %s went from revision %d back to %d", m.id, m.high, revision)
			}
			m.high = max(m.high, revision)
			if _, err := operator.NewClient(m.instance.AdminAddr()).Service(ctx, "old"); err == nil && revision >= w.gone {
				w.report("instance %s shows the withdrawn service at revision %d", m.id, revision)
			}
		}
		select {
		case <-ctx.Done():
		case <-ticker.C:
		}
	}
}

// settle publishes a last note and a last version, and then checks what operators and engines
// see against the log's own records.
func (w *world) settle() {
	w.t.Helper()
	w.awaitView()
	w.publishNote(w.note("last", w.truth().Catalog.Revision(), func(n *release.Note) { n.Withdrawn = []string{"desk"} }))
	w.announce(3)
	last := "a duty is not held by a live instance"
	defer func() {
		if w.t.Failed() {
			w.t.Log("last difference:", last)
		}
	}()
	w.until("all instances show the log's state", func() bool {
		for _, m := range w.live() {
			if last = w.difference(m); last != "" {
				return false
			}
		}
		return w.holdersLive()
	})
	w.checkVerdicts()
	w.checkOrders()
}

// difference tells how an operator sees that an instance differs from the log's records; it is
// empty when nothing differs.
func (w *world) difference(m *member) string {
	client := operator.NewClient(m.instance.AdminAddr())
	status, err := client.Status(w.t.Context())
	if err != nil {
		return err.Error()
	}
	at := control.Empty()
	for _, r := range w.records() {
		if r.Offset < status.ControlOffset {
			at = at.Apply(r)
		}
	}
	if chain := fmt.Sprintf("%016x", at.Chain); chain != status.ControlChain {
		w.report("instance %s has chain %s at offset %d, the log has %s", m.id, status.ControlChain, status.ControlOffset, chain)
	}
	services, err := client.Services(w.t.Context())
	if err != nil {
		return err.Error()
	}
	notes, err := client.Notes(w.t.Context())
	if err != nil {
		return err.Error()
	}
	return w.catalogDifference(m.id, status.CatalogRevision, services, notes)
}

// catalogDifference compares the catalog that an instance shows with the log's. The log is read
// last, so the instance cannot know more.
func (w *world) catalogDifference(id string, revision int64, services []contract.Service, notes []operator.NoteRecord) string {
	truth := w.truth().Catalog
	for _, n := range notes {
		if v, ok := truth.Verdict(n.ID); !ok || v != n.Verdict {
			w.report("instance %s has verdict %+v on %s, the log gives %+v", id, n.Verdict, n.ID, v)
		}
	}
	if revision != truth.Revision() || len(notes) != len(truth.Verdicts()) {
		return fmt.Sprintf("%s has revision %d and %d verdicts, the log %d and %d",
			id, revision, len(notes), truth.Revision(), len(truth.Verdicts()))
	}
	shown, _ := json.Marshal(services)
	want, _ := json.Marshal(truth.Services())
	if string(shown) != string(want) {
		return fmt.Sprintf("%s has services %s, the log gives %s", id, shown, want)
	}
	return ""
}

// holdersLive reports whether each duty that the log knows is held by a live instance.
func (w *world) holdersLive() bool {
	leases := w.truth().Leases
	refs := map[string]uint64{}
	for _, m := range w.live() {
		if status, err := operator.NewClient(m.instance.AdminAddr()).Status(w.t.Context()); err == nil {
			refs[m.id] = status.Incarnation
		}
	}
	for _, duty := range leases.Duties() {
		if l, _ := leases.Get(duty); l.Released || refs[l.Holder.ID] != l.Holder.Incarnation {
			return false
		}
	}
	return true
}

// checkVerdicts compares the answers that operators got with the fold of the log. Only racing
// notes may be refused: a repeated publication must not be taken for a second note.
func (w *world) checkVerdicts() {
	truth := w.truth().Catalog
	w.mu.Lock()
	defer w.mu.Unlock()
	for id, got := range w.verdicts {
		if !got.Accepted && !strings.HasPrefix(id, racePrefix) {
			w.errs = append(w.errs, fmt.Sprintf("note %s was refused: %+v", id, got))
		}
		if want, ok := truth.Verdict(id); !ok || want != got {
			w.errs = append(w.errs, fmt.Sprintf("operator was told %+v of note %s, the log gives %+v", got, id, want))
		}
	}
}

// checkOrders checks that the fencing numbers of the orders that an engine carried out are
// those of leases that the log gave, and that they never go back.
func (w *world) checkOrders() {
	granted := map[string]bool{}
	state := control.Empty()
	for _, r := range w.records() {
		state = state.Apply(r)
		for _, duty := range state.Leases.Duties() {
			l, _ := state.Leases.Get(duty)
			granted[fmt.Sprintf("%s %d", duty, l.Epoch)] = true
		}
	}
	for service, e := range w.engines {
		orders, high := e.Ledger().Orders(), int64(-1)
		slices.SortStableFunc(orders, func(a, b orderRecord) int { return a.Started.Compare(b.Started) })
		for _, o := range orders {
			if o.Started.IsZero() {
				continue
			}
			if o.Order.Fence < high {
				w.report("engine %s carried out an order with fence %d after %d", service, o.Order.Fence, high)
			}
			high = max(high, o.Order.Fence)
			if !granted[fmt.Sprintf("%s%s %d", lease.OrdersPrefix, service, o.Order.Fence)] {
				w.report("engine %s carried out an order with fence %d, which the log never gave", service, o.Order.Fence)
			}
		}
		if high < 0 {
			w.report("engine %s carried out no order", service)
		}
	}
}
