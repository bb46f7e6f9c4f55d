package entry

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"

	"github.com/cicadasill/cicadasill/gateway"
)

const (
	// reasonNotReady is the reason given when an instance without a state refuses a request.
	reasonNotReady = "not_ready"
	// firstAttempt is the value of the attempt header by which a caller states that there was no
	// earlier attempt with its key.
	firstAttempt = "1"
	// maxNotReadyRetryS bounds the seconds after which a refused caller may try again. It is short,
	// because the balancer should have taken the instance out and other instances can serve at once.
	maxNotReadyRetryS = 3

	millisecondsPerSecond = 1000
)

// requireState refuses requests until the instance has the state of the control stream. Without the
// catalog it would answer that every service is unknown, and peers would pass that answer on to their
// callers.
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

// refuseNotReady refuses a request that was not run here. An earlier attempt with the same key may
// have run at another instance, so the outcome of a request with a key is "not run" only for a first
// attempt, and unknown otherwise.
func (i *Instance) refuseNotReady(w http.ResponseWriter, r *http.Request) {
	outcome := gateway.NotRun
	if r.Header.Get(gateway.HeaderKey) != "" && r.Header.Get(gateway.HeaderAttempt) != firstAttempt {
		outcome = gateway.Unknown
	}
	retry := 1 + rand.IntN(maxNotReadyRetryS)
	w.Header().Set(gateway.HeaderOutcome, string(outcome))
	w.Header().Set(gateway.HeaderReason, reasonNotReady)
	w.Header().Set("Retry-After", strconv.Itoa(retry))
	writeJSON(w, http.StatusServiceUnavailable, refusalBody{Error: refusal{
		Code:         reasonNotReady,
		Message:      fmt.Sprintf("this instance is not ready: it waits for %s", i.feed.WaitingFor()),
		Outcome:      outcome,
		RetryAfterMs: retry * millisecondsPerSecond,
	}})
}

// refusalBody is the JSON body of a refusal, in the format that the gateway uses.
type refusalBody struct {
	Error refusal `json:"error"`
}

type refusal struct {
	Code         string          `json:"code"`
	Message      string          `json:"message"`
	Outcome      gateway.Outcome `json:"outcome"`
	RetryAfterMs int             `json:"retry_after_ms"`
}
