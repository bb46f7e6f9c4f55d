package job

import (
	"context"
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/changelog"
)

// lateIndexLog leaves the first append of an acceptance unanswered and executes it when executeLate is called, if its condition holds
// then.
type lateIndexLog struct {
	*countingLog
	lost        func() // called when the append is left unanswered
	executeLate func()
}

var errNoAnswer = errors.New("no answer")

func (l *lateIndexLog) Append(ctx context.Context, p changelog.Partition, records []changelog.Record, expectEnd int64) (int64, error) {
	if p.Topic == indexTopic && l.executeLate == nil {
		l.executeLate = func() { _, _ = l.countingLog.Append(context.Background(), p, records, expectEnd) }
		l.lost()
		return 0, &changelog.UnknownError{Call: "append", Err: errNoAnswer}
	}
	return l.countingLog.Append(ctx, p, records, expectEnd)
}

// Guards against a refused job that runs (REFUSED): the append that accepts it has no answer, the driver with room counts as silent by
// the next attempt, and the store executes the append after the refusal.
func TestRefusedJobIsNotAcceptedLate(t *testing.T) {
	is := is.New(t)
	log := &lateIndexLog{countingLog: newCountingLog()}
	full := roomyRegistry(log.countingLog, "a")
	is.NoErr(full.Submit(t.Context(), jobOf("open", -1, 900)))
	g := roomyRegistry(log.countingLog, "a", "b")
	g.opts.Log = log
	g.indexReplica = changelog.NewReplica(log, changelog.Partition{Topic: indexTopic}, g.index)
	live := g.opts.Drivers
	log.lost = func() { g.opts.Drivers = full.opts.Drivers }
	var refusal *FullError
	is.True(errors.As(g.Submit(t.Context(), jobOf("judged", -1, 600)), &refusal))
	log.executeLate()
	is.NoErr(g.indexReplica.Sync(t.Context()))
	_, accepted := g.Summary("judged")
	is.True(!accepted)

	g.opts.Drivers = live // and the client's next attempt
	is.NoErr(g.Submit(t.Context(), jobOf("judged", -1, 600)))
	is.Equal(driverOf(g, "judged"), "b")
}
