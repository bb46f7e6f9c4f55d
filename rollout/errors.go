package rollout

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
)

// Code is the reason why a trainer's request was refused.
type Code string

// Reasons for refusing a trainer's request.
const (
	CodeBadRequest     Code = "bad_request"
	CodeUnknownService Code = "unknown_service"
	CodeNotATrainer    Code = "not_a_trainer"
	// CodeStepNotOpen means that the step is not open at its owner; the trainer opens it again with the
	// same body.
	CodeStepNotOpen Code = "step_not_open"
	// CodeStepConflict means that the step is open with another body.
	CodeStepConflict Code = "step_conflict"
	// CodeStepTooLarge means that the request body is too large, or that the step alone exceeds the
	// memory bound.
	CodeStepTooLarge Code = "step_too_large"
	// CodeBusy means that the other open steps leave too little of the memory bound.
	CodeBusy Code = "busy"
	// CodeNoRollouts means that the service has no rollout terms.
	CodeNoRollouts Code = "no_rollouts"
	// CodeStopping means that the instance is shutting down.
	CodeStopping Code = "stopping"
	// CodeForwardFailed means that the owner's response was cut short; the request may be repeated.
	CodeForwardFailed Code = "forward_failed"
)

var httpStatus = map[Code]int{
	CodeBadRequest:     http.StatusBadRequest,
	CodeUnknownService: http.StatusNotFound,
	CodeNotATrainer:    http.StatusForbidden,
	CodeStepNotOpen:    http.StatusConflict,
	CodeStepConflict:   http.StatusConflict,
	CodeStepTooLarge:   http.StatusRequestEntityTooLarge,
	CodeBusy:           http.StatusServiceUnavailable,
	CodeNoRollouts:     http.StatusConflict,
	CodeStopping:       http.StatusServiceUnavailable,
	CodeForwardFailed:  http.StatusBadGateway,
}

// Error is a refusal of a trainer's request.
type Error struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	Err     error  `json:"-"`
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Code, e.Message) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func errorf(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// attemptError is a failure of a generation or scoring attempt that the back end did not report itself.
type attemptError struct {
	Code   attemptCode
	Detail string
}

type attemptCode string

const (
	attemptWrongEcho   attemptCode = "wrong_echo"
	attemptWrongIndex  attemptCode = "wrong_index"
	attemptWrongTotal  attemptCode = "wrong_total"
	attemptSilent      attemptCode = "silent"
	attemptEndedEarly  attemptCode = "ended_early"
	attemptStaleCache  attemptCode = "stale_cache"
	attemptSuperseded  attemptCode = "superseded"
	attemptOverrun     attemptCode = "overrun"
	attemptBadScore    attemptCode = "bad_score"
	attemptNoScorer    attemptCode = "no_scorer"
	attemptScoreStatus attemptCode = "score_status"
)

func (e *attemptError) Error() string { return fmt.Sprintf("%s: %s", e.Code, e.Detail) }

func (e *attemptError) Unwrap() error { return nil }

func writeError(w http.ResponseWriter, e *Error) {
	if e.Code == CodeBusy || e.Code == CodeStopping || e.Code == CodeForwardFailed {
		w.Header().Set("Retry-After", "1")
	}
	w.Header().Set(reasonHeader, string(e.Code))
	writeJSON(w, httpStatus[e.Code], e)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	// A failed write means that the trainer disconnected; it repeats the request with its bitmap.
	_, _ = w.Write(data)
}
