package forward

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/routes"
)

// Replays callers that are refused at the same moment, because their service has no back end left. Guards against all of them
// returning in one moment too, when the first back ends are back.
func TestCallersRefusedTogetherReturnSpread(t *testing.T) {
	const (
		callers = 60
		bucket  = 50 * time.Millisecond
	)
	is := is.New(t)
	f := newForwarder(&fakeClient{}, 0)
	perBucket := map[time.Duration]int{}
	for range callers {
		_, err := f.Forward(t.Context(), testRoute(routes.Idempotent, 1), &Request{ID: "r"})
		var refused *RefusedError
		is.True(errors.As(err, &refused))
		is.True(refused.RetryAfter >= queueDrainTime && refused.RetryAfter <= 2*queueDrainTime)
		perBucket[refused.RetryAfter/bucket]++
	}
	for _, n := range perBucket {
		is.True(n <= 2*callers/3)
	}
}
