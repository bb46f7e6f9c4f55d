package gateway

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/cicadasill/cicadasill/limit"
	"github.com/cicadasill/cicadasill/routing"
	"github.com/cicadasill/cicadasill/standalone/platform"
)

// Code identifies the kind of an error response to a caller.
type Code string

// Codes of errors that the gateway itself detects. Refusals by queues, routing and claims use
// the reasons of those packages as codes.
const (
	UnknownService Code = "unknown_service"
	UnknownCall    Code = "unknown_call"
	InvalidHeader  Code = "invalid_header"
	InvalidBody    Code = "invalid_body"
	BodyTooLarge   Code = "body_too_large"
	BodyIncomplete Code = "body_incomplete"
	// BodiesFull means that the bodies of other requests take the memory that this one needs.
	BodiesFull  Code = "bodies_full"
	KeyRequired Code = "key_required"
	// NonIdempotentEngineCall means that the call is non-idempotent but its back ends are engines.
	NonIdempotentEngineCall Code = "non_idempotent_engine_call"
	Draining                Code = "draining"
	DeadlinePassed          Code = "deadline_passed"
	CallerGone              Code = "caller_gone"
	BackendFailed           Code = "backend_failed"
	AnswerLost              Code = "answer_lost"
)

// Error is an error response to a caller.
type Error struct {
	Code       Code
	Status     int
	Outcome    Outcome
	Message    string
	RetryAfter time.Duration
	Err        error
	// bodyUnread states that the client may still be sending the body.
	bodyUnread bool
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("%s (%s): %v", e.Code, e.Outcome, e.Err)
	}
	return fmt.Sprintf("%s (%s): %s", e.Code, e.Outcome, e.Message)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// errorBody is the JSON form of an Error.
type errorBody struct {
	Code         Code    `json:"code"`
	Message      string  `json:"message"`
	Outcome      Outcome `json:"outcome"`
	RetryAfterMs int64   `json:"retry_after_ms"`
}

func (e *Error) body() map[string]errorBody {
	return map[string]errorBody{"error": {e.Code, e.Message, e.Outcome, e.RetryAfter.Milliseconds()}}
}

// write sends e as the response.
func (e *Error) write(w http.ResponseWriter) {
	h := w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, string(e.Outcome))
	h.Set(HeaderReason, string(e.Code))
	if e.RetryAfter > 0 {
		h.Set(headerRetry, strconv.Itoa(int(math.Ceil(e.RetryAfter.Seconds()))))
	}
	data, err := json.Marshal(e.body())
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	h.Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(e.Status)
	_, _ = w.Write(data) // the caller has gone if this fails
}

// refusalFor converts an error before the dispatch into a response. Its outcome is the one
// that refusalOutcome allows.
func (r *request) refusalFor(err error) *Error {
	var gatewayErr *Error
	var queueRefusal *limit.Refused
	var noBackend *routing.NoBackend
	out := &Error{Status: http.StatusServiceUnavailable, Outcome: r.refusalOutcome(), Err: err}
	switch {
	case errors.As(err, &gatewayErr):
		return gatewayErr
	case errors.As(err, &queueRefusal):
		out.Code, out.RetryAfter = Code(queueRefusal.Reason), queueRefusal.RetryAfter
	case errors.As(err, &noBackend):
		out.Code, out.RetryAfter = Code(noBackend.Reason), noBackend.RetryAfter
	case errors.Is(err, context.Canceled):
		out.Code = CallerGone
	case errors.Is(err, context.DeadlineExceeded):
		out.Code, out.RetryAfter = DeadlinePassed, limit.RetryAfter(0)
	default:
		out.Code, out.RetryAfter = BackendFailed, limit.RetryAfter(0)
	}
	out.Message = "the request was refused: " + string(out.Code)
	return out
}

// failureFor returns the response after the last attempt failed with err.
func (r *request) failureFor(err error) *Error {
	out := r.refusalFor(err)
	var p *platform.Error
	if out.Outcome == Unknown && errors.As(err, &p) {
		out.Code, out.Status = AnswerLost, http.StatusBadGateway
		if r.call.Idempotent {
			out.Code = BackendFailed
		}
	}
	if errors.Is(err, context.DeadlineExceeded) {
		out.Code, out.Status = DeadlinePassed, http.StatusGatewayTimeout
	}
	out.Message = "no complete answer: " + err.Error()
	if out.RetryAfter == 0 {
		out.RetryAfter = limit.RetryAfter(0)
	}
	return out
}
