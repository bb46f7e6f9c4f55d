package job

import (
	"context"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/backends"
)

// silentEngine is an Engine that sends nothing, on a kept connection or a new one.
type silentEngine struct{ kept bool }

// Generate implements Engine.
func (e silentEngine) Generate(ctx context.Context, _ *backends.Backend, _ Call, _ Receiver) error {
	<-ctx.Done()
	return &BrokenError{Err: ctx.Err(), SilentConn: e.kept}
}

// Guards against sound engines that are avoided because the jobs whose items they ran have ended.
func TestEndedJobIsNotHeldAgainstItsEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		f := newMoveFixture()
		f.driver.opts.Engine = silentEngine{}
		route, _ := f.config.Load().Match("h", "/p/1")
		ctx, cancel := context.WithTimeout(t.Context(), firstEventTimeout/2)
		defer cancel()
		a := &itemAttempt{output: &partialOutput{}, backend: f.fast, model: "m"}
		is.True(f.driver.runAttempt(ctx, f.job, &f.job.items[0], route, a) != nil)
		for _, c := range f.dir.Candidates("llm", "m") {
			is.True(!c.Avoid)
		}
	})
}

// Guards against items that avoid a sound engine because a kept connection to it has gone silent, and against an engine that
// is silent on a new connection and not avoided.
func TestSilentConnectionIsNotHeldAgainstItsEngine(t *testing.T) {
	for _, kept := range []bool{true, false} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			f := newMoveFixture()
			f.driver.opts.Engine = silentEngine{kept}
			route, _ := f.config.Load().Match("h", "/p/1")
			a := &itemAttempt{output: &partialOutput{}, backend: f.fast, model: "m"}
			err := f.driver.runAttempt(t.Context(), f.job, &f.job.items[0], route, a)
			is.True(err != nil)
			for _, c := range f.dir.Candidates("llm", "m") {
				is.Equal(c.Avoid, !kept && c.Backend == f.fast)
			}
		})
	}
}
