package job

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"
)

// Guards against a data race between a result that is queued and the end of the registry, which waits for the last results.
func TestResultMayBeQueuedWhileTheRegistryEnds(t *testing.T) {
	is := is.New(t)
	for range 200 {
		g := testRegistry(newCountingLog())
		g.opts.Peers = fixedPeers{}
		g.opts.IndexPause, g.opts.IndexRead = func() time.Duration { return time.Millisecond }, func(error) {}
		is.NoErr(g.Submit(t.Context(), &Spec{ID: fixtureJob, Items: []Item{{ID: "a"}, {ID: "b"}}}))
		s, _ := g.Summary(fixtureJob)
		ctx, cancel := context.WithCancel(t.Context())
		var run conc.WaitGroup
		run.Go(func() { g.Run(ctx) })
		run.Go(func() {
			cancel()
			g.queueResult(&s, Result{Item: "a", State: Complete})
		})
		run.Wait()
	}
}
