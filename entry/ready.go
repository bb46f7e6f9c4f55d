package entry

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"

	"github.com/cicadasill/cicadasill/gateway"
)

const (
	// reasonNotReady is the reason of a refusal by an instance that has no state yet.
	reasonNotReady = "not_ready"
	// firstAttempt is the value by which a caller excludes earlier attempts with its key.
	firstAttempt = "1"
	// notReadyRetryS bounds the seconds after which a refused caller may try again; the balancer
	// should have taken the instance out, and other instances can serve at once.
	notReadyRetryS = 3

	millisecondsPerSecond = 1000
)

// requireState refuses requests until the instance has booted. Without the catalog it would
// take every service for unknown, and peers would pass that answer on to callers.
func (i *Instance) requireState(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		select {
		case <-i.feed.Ready():
			next.ServeHTTP(w, r)
		default:
			i.refuseNotReady(w, r)
		}
	})
}

// refuseNotReady answers a request that nothing was done for. With a key, an earlier attempt
// may have run at another instance, so only a first attempt is told "not run".
func (i *Instance) refuseNotReady(w http.ResponseWriter, r *http.Request) {
	outcome := gateway.NotRun
	if r.Header.Get(gateway.HeaderKey) != "" && r.Header.Get(gateway.HeaderAttempt) != firstAttempt {
		outcome = gateway.Unknown
	}
	retry := 1 + rand.IntN(notReadyRetryS)
	w.Header().Set(gateway.HeaderOutcome, string(outcome))
	w.Header().Set(gateway.HeaderReason, reasonNotReady)
	w.Header().Set("Retry-After", strconv.Itoa(retry))
	writeJSON(w, http.StatusServiceUnavailable, refusalBody{Error: refusal{
		Code:         reasonNotReady,
		Message:      fmt.Sprintf("this instance waits for %s", i.feed.WaitingFor()),
		Outcome:      outcome,
		RetryAfterMs: retry * millisecondsPerSecond,
	}})
}

// refusalBody is the body of a refusal, in the shape that callers get from the gateway.
type refusalBody struct {
	Error refusal `json:"error"`
}

type refusal struct {
	Code         string          `json:"code"`
	Message      string          `json:"message"`
	Outcome      gateway.Outcome `json:"outcome"`
	RetryAfterMs int             `json:"retry_after_ms"`
}
