package weights

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/cicadasill/cicadasill/standalone/platform"
)

// Code says why a request about versions was refused or an order was not given.
type Code string

// Refusals and reasons.
const (
	CodeBadRequest     Code = "bad_request"
	CodeUnknownService Code = "unknown_service"
	CodeNotATrainer    Code = "not_a_trainer"
	CodeUnknownVersion Code = "unknown_version"
	// CodeWithdrawn: the version was withdrawn and cannot be announced again.
	CodeWithdrawn Code = "version_withdrawn"
	// CodeLogUnavailable: the log recorded nothing.
	CodeLogUnavailable Code = "log_unavailable"
	// CodeOutcomeUnknown: the log may have recorded it; the request may be repeated.
	CodeOutcomeUnknown Code = "outcome_unknown"
	// CodeLeaseLapsed: the lease ended before the order was sent.
	CodeLeaseLapsed Code = "lease_lapsed"
	// CodeObsolete: another version became the newest before the order was sent.
	CodeObsolete Code = "obsolete"
	// CodeNotLoaded: the sampler does not run the version although the order's time is over.
	CodeNotLoaded Code = "not_loaded"
)

var statusOf = map[Code]int{
	CodeBadRequest: http.StatusBadRequest, CodeUnknownService: http.StatusNotFound,
	CodeNotATrainer: http.StatusForbidden, CodeUnknownVersion: http.StatusNotFound,
	CodeWithdrawn: http.StatusConflict, CodeLogUnavailable: http.StatusServiceUnavailable,
	CodeOutcomeUnknown: http.StatusServiceUnavailable,
}

// Error is a refused request or an order that was not given.
type Error struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	Err     error  `json:"-"`
}

// Error implements error.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Code, e.Message) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func refuse(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// logError turns a failed append into a refusal that says whether it may have taken effect.
func logError(err error) *Error {
	var e *Error
	if errors.As(err, &e) {
		return e
	}
	code := CodeOutcomeUnknown
	if platform.HadNoEffect(err) {
		code = CodeLogUnavailable
	}
	return &Error{Code: code, Message: err.Error(), Err: err}
}

func writeError(w http.ResponseWriter, e *Error) {
	w.Header().Set("Cicadasill-Reason", string(e.Code))
	if statusOf[e.Code] == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	writeJSON(w, statusOf[e.Code], e)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The caller has left when this fails; announcements may be repeated.
	_, _ = w.Write(data)
}
