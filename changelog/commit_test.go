package changelog

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against a commit that waits without limit behind another one whose appends the store refuses: the request that needs it
// would get no answer in its time.
func TestCommitWaitsForNoOtherBeyondItsTime(t *testing.T) {
	is := is.New(t)
	log := &memoryLog{fault: func() appendFault { return notApplied }}
	state := mapState{}
	r := NewReplica(log, testPartition, state)
	long, cancel := context.WithCancel(t.Context())
	first := make(chan error, 1)
	go func() {
		_, err := claim(long, r, state, "a", "1")
		first <- err
	}()
	time.Sleep(5 * time.Millisecond)
	ctx, cancelShort := context.WithTimeout(t.Context(), 50*time.Millisecond)
	defer cancelShort()
	second := make(chan error, 1)
	go func() {
		_, err := claim(ctx, r, state, "b", "2")
		second <- err
	}()
	select {
	case err := <-second:
		var notDone *NotDoneError
		is.True(errors.As(err, &notDone))
	case <-time.After(5 * time.Second):
		t.Error("the second commit still waits")
	}
	cancel()
	is.True(<-first != nil)
}
