package instance

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/platform/hosted/hostedtest"
)

// Guards against requests to a back end that drains or has left (DRAIN), because the store executes one of its earlier heartbeats late, at
// instances that read the entries themselves, and at those that begin to read them because the readers end.
func TestLateHeartbeatBringsNoRequests(t *testing.T) {
	leave := map[string]func(c *cluster, e *hostedtest.Engine){
		"drains":  func(c *cluster, e *hostedtest.Engine) { c.store.PutEntry(e.ID, e.Entry("draining")) },
		"removed": func(c *cluster, e *hostedtest.Engine) { c.store.PutEntry(e.ID, nil) },
	}
	for name, leave := range leave {
		for _, reading := range []string{"direct", "from others that end"} {
			t.Run(name+", "+reading, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				c := newCluster(t, 4, 1)
				alive := c.members
				if reading != "direct" {
					for _, m := range c.members {
						m.entries.maxDirectReads.Store(0)
					}
					c.waitUntil("a few instances read for all", func() bool { return len(readers(c.members)) <= minReaders })
				}
				knowAll := func(id string, known bool) func() bool {
					return func() bool {
						for _, m := range alive {
							if hasCandidate(m, "desk", id) != known {
								return false
							}
						}
						return true
					}
				}
				leaving := c.startBackEnd("desk-leaving")
				late := leaving.Entry("ready")
				for range 3 {
					c.register(leaving)
				}
				c.waitUntil("the back end is known", knowAll(leaving.ID, true))
				leave(c, leaving)
				c.waitUntil("the back end gets no work", knowAll(leaving.ID, false))
				if reading == "from others that end" {
					alive = nil
					for _, m := range c.members {
						if readsStore(m) {
							m.kill()
						} else {
							alive = append(alive, m)
						}
					}
					is.True(len(alive) > 0)
				}
				before := len(leaving.Runs())
				c.store.PutEntry(leaving.ID, late)
				next := c.startBackEnd("desk-next") // whoever knows it has read the late entry
				c.waitUntil("the entries after the late one are known", knowAll(next.ID, true))
				for n, m := range alive {
					is.True(!hasCandidate(m, "desk", leaving.ID))
					for k := range 5 {
						id := fmt.Sprintf("r-%d-%d", n, k)
						is.Equal(c.call(m, http.MethodPost, "/plain/"+id, id, http.Header{"X-Deadline-Ms": {"2000"}}, "x").status, http.StatusOK)
					}
				}
				is.Equal(len(leaving.Runs()), before)
			})
		}
	}
}

// Guards against requests to a back end that has left (DRAIN) at an instance that has started since: one of the back end's earlier heartbeats
// is executed late, before or after the instance reads the entries for the first time.
func TestStartingInstanceKnowsWhatWasRemoved(t *testing.T) {
	for _, lateFirst := range []bool{false, true} {
		t.Run(fmt.Sprint("late entry first: ", lateFirst), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 3, 1)
			leaving := c.startBackEnd("desk-leaving")
			late := leaving.Entry("ready")
			c.register(leaving)
			for _, m := range c.members {
				c.waitUntil("the back end is known", func() bool { return hasCandidate(m, "desk", leaving.ID) })
			}
			c.store.PutEntry(leaving.ID, nil)
			for _, m := range c.members {
				c.waitUntil("the back end gets no work", func() bool { return !hasCandidate(m, "desk", leaving.ID) })
			}
			if lateFirst {
				c.store.PutEntry(leaving.ID, late)
			}
			m := c.startInstance("instance-late")
			c.waitUntil("instance is ready", m.isReady)
			c.waitUntil("removals are learned", func() bool { return len(m.entries.recorder.Removals()) > 0 })
			c.store.PutEntry(leaving.ID, late)
			next := c.startBackEnd("desk-next") // whoever knows it has read the late entry
			c.waitUntil("the entries after the late one are known", func() bool { return hasCandidate(m, "desk", next.ID) })
			if hasCandidate(m, "desk", leaving.ID) {
				t.Error("the instance sends requests to a back end that has left")
			}
		})
	}
}

// startBackEnd starts and registers a back end of the plain service.
func (c *cluster) startBackEnd(id string) *hostedtest.Engine {
	e := hostedtest.NewEngine(id, "desk", "a", "")
	c.t.Cleanup(e.Close)
	c.register(e)
	return e
}

// readers returns the instances that read the entries from the store.
func readers(members []*member) (list []*member) {
	for _, m := range members {
		if readsStore(m) {
			list = append(list, m)
		}
	}
	return list
}

// hasCandidate reports whether an instance may send requests of a service to a back end.
func hasCandidate(m *member, service, id string) bool {
	for _, candidate := range m.directory.Candidates(service, "") {
		if candidate.ID == id {
			return true
		}
	}
	return false
}

// Replays the loss of all instances soon after a back end has left. Guards against requests to it (DRAIN) at instances that have started since:
// nobody remembers the removal, and the store executes one of the back end's earlier heartbeats before or after they read the entries.
func TestRestartOfAllKeepsWhatWasRemoved(t *testing.T) {
	for _, lateFirst := range []bool{false, true} {
		for _, historyLost := range []bool{false, true} {
			t.Run(fmt.Sprintf("late entry first: %v, history lost: %v", lateFirst, historyLost), func(t *testing.T) {
				t.Parallel()
				c := newCluster(t, 2, 1)
				leaving, staying := c.startBackEnd("desk-leaving"), c.startBackEnd("desk-staying")
				late := leaving.Entry("ready")
				for range 2 {
					c.register(leaving)
					c.register(staying)
				}
				for _, m := range c.members {
					c.waitUntil("the back end is known", func() bool { return hasCandidate(m, "desk", leaving.ID) })
				}
				c.store.PutEntry(leaving.ID, nil)
				for _, m := range c.members {
					m.kill()
				}
				if lateFirst {
					c.store.PutEntry(leaving.ID, late)
				}
				if historyLost {
					c.store.Expire()
				}
				m := c.startInstance("instance-after")
				c.waitUntil("the entries are read", func() bool { return m.directory.Len() > 0 })
				if !lateFirst {
					c.store.PutEntry(leaving.ID, late)
				}
				c.waitUntil("the back end that stays is used", func() bool { return hasCandidate(m, "desk", staying.ID) })
				next := c.startBackEnd("desk-next") // whoever knows it has read the late entry
				c.waitUntil("the entries after the late one are known", func() bool {
					_, known := m.directory.Backend(next.ID)
					return known
				})
				if historyLost { // back ends that live write again
					c.register(staying)
					c.register(next)
					c.waitUntil("the entries are read again", func() bool { return !hasCandidate(m, "desk", leaving.ID) })
				}
				if hasCandidate(m, "desk", leaving.ID) {
					t.Error("the instance sends requests to a back end that has left")
				}
			})
		}
	}
}
