package instance

import (
	"testing"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/platform/hosted/hostedtest"
)

// readsStore reports whether an instance reads the entries from the store.
func readsStore(m *member) bool {
	_, reads := m.entries.source()
	return reads
}

// Guards against an instance of a large deployment that misses a new back end or the stop of one because it has its entries from
// another instance, and against one that is left without entries when that instance ends.
func TestEntriesFromOtherInstances(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 6, 1)
	for _, m := range c.members {
		m.entries.maxDirectReads.Store(0)
	}
	followers := func() (list []*member) {
		for _, m := range c.members {
			if !readsStore(m) {
				list = append(list, m)
			}
		}
		return list
	}
	c.waitUntil("a few instances read for all", func() bool { return len(followers()) >= len(c.members)-minReaders })
	for _, m := range c.members {
		is.True(m.isReady())
	}

	late := hostedtest.NewEngine("engine-late", "llm", "a", "m")
	t.Cleanup(late.Close)
	c.register(late)
	knows := func(m *member, id string) bool {
		for _, candidate := range m.directory.Candidates("llm", "m") {
			if candidate.ID == id {
				return true
			}
		}
		return false
	}
	for _, m := range c.members {
		c.waitUntil("the late engine is known", func() bool { return knows(m, late.ID) })
	}
	c.store.Put("keyed.servers", late.ID, late.Entry("draining"))
	for _, m := range c.members {
		c.waitUntil("the late engine gets no work", func() bool { return !knows(m, late.ID) })
	}

	follower := followers()[0]
	for _, m := range c.members {
		if readsStore(m) {
			m.kill()
		}
	}
	another := hostedtest.NewEngine("engine-another", "llm", "a", "m")
	t.Cleanup(another.Close)
	c.register(another)
	c.waitUntil("the follower has other entries", func() bool { return knows(follower, another.ID) && follower.isReady() })
}
