package weights

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/cicadasill/cicadasill/standalone/platform"
)

// Code is the reason why a request was refused or an order was not sent.
type Code string

// Reasons of an Error.
const (
	CodeBadRequest     Code = "bad_request"
	CodeUnknownService Code = "unknown_service"
	CodeNotATrainer    Code = "not_a_trainer"
	CodeUnknownVersion Code = "unknown_version"
	// CodeWithdrawn means that the version was withdrawn and cannot be announced again.
	CodeWithdrawn Code = "version_withdrawn"
	// CodeLogUnavailable means that the log did not record the announcement or withdrawal.
	CodeLogUnavailable Code = "log_unavailable"
	// CodeOutcomeUnknown means that the log may have recorded the announcement or withdrawal. The
	// request may be repeated.
	CodeOutcomeUnknown Code = "outcome_unknown"
	// CodeLeaseLapsed means that the lease was lost, or valid for less than LeaseMargin, before the
	// order was sent.
	CodeLeaseLapsed Code = "lease_lapsed"
	// CodeObsolete means that the version was withdrawn, or was no longer the newest, before the order
	// was sent.
	CodeObsolete Code = "obsolete"
	// CodeNotLoaded means that the sampler does not run the version although the deadline of the
	// order has passed.
	CodeNotLoaded Code = "not_loaded"
)

var httpStatus = map[Code]int{
	CodeBadRequest: http.StatusBadRequest, CodeUnknownService: http.StatusNotFound,
	CodeNotATrainer: http.StatusForbidden, CodeUnknownVersion: http.StatusNotFound,
	CodeWithdrawn: http.StatusConflict, CodeLogUnavailable: http.StatusServiceUnavailable,
	CodeOutcomeUnknown: http.StatusServiceUnavailable,
}

// Error describes a refused request or an order that was not sent.
type Error struct {
	Code    Code   `json:"code"`
	Message string `json:"message"`
	Err     error  `json:"-"`
}

// Error implements the error interface.
func (e *Error) Error() string { return fmt.Sprintf("%s: %s", e.Code, e.Message) }

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

func errorf(code Code, format string, args ...any) *Error {
	return &Error{Code: code, Message: fmt.Sprintf(format, args...)}
}

// appendError converts the error of a failed append to an Error. Its code tells whether the append may
// have taken effect.
func appendError(err error) *Error {
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
	if httpStatus[e.Code] == http.StatusServiceUnavailable {
		w.Header().Set("Retry-After", "1")
	}
	writeJSON(w, httpStatus[e.Code], e)
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// The write fails if the client has disconnected; the client may repeat an announcement.
	_, _ = w.Write(data)
}
