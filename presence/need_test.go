package presence

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/platform/hosted/hostedtest"
)

// Guards against needs that are lost, stay after their instance has left, or count twice.
func TestNeedIsTheSumOverLiveInstances(t *testing.T) {
	is := is.New(t)
	store := hostedtest.NewStore()
	t.Cleanup(store.Close)
	a, _ := startTable(t, store, "a", "z", 1)
	b, stop := startTable(t, store, "b", "z", 1)
	is.Equal(len(a.Need()), 0)
	a.StateNeed(func() map[string]int { return map[string]int{"llm": 3} })
	b.StateNeed(func() map[string]int { return map[string]int{"llm": 4, "desk": 1, "odd": -5} })
	wait := func(service string, want int) {
		t.Helper()
		for deadline := time.Now().Add(waitTimeout); a.Need()[service] != want; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("need of %s is %d", service, a.Need()[service])
			}
		}
	}
	wait("llm", 7)
	wait("desk", 1)
	is.Equal(a.Need()["odd"], 0)
	b.Leave(t.Context())
	stop()
	wait("llm", 3)
	wait("desk", 0)
}
