package feed

import "fmt"

// Code classifies a failed feed operation.
type Code string

// Codes of failed feed operations.
const (
	// LogUnavailable: an operation on the log failed and the record was not appended.
	LogUnavailable Code = "log_unavailable"
	// OutcomeUnknown: the record may have been appended or may still be. The operation can safely
	// be repeated.
	OutcomeUnknown Code = "outcome_unknown"
	// VersionWithdrawn: the version was withdrawn, or is older than the oldest version remembered,
	// and cannot be announced again.
	VersionWithdrawn Code = "version_withdrawn"
	// UnknownService: the service does not exist.
	UnknownService Code = "unknown_service"
	// InvalidVersion: the version is not a positive number.
	InvalidVersion Code = "invalid_version"
	// HistoryLost: the log contains no usable snapshot whose following records are all retained.
	HistoryLost Code = "history_lost"
	// LogBehind: the log ends before the offset that this instance has applied or expects.
	LogBehind Code = "log_behind"
	// ChainMismatch: the records of a peer do not continue the local chain.
	ChainMismatch Code = "chain_mismatch"
	// Gap: records of a peer start after the next offset to apply.
	Gap Code = "gap"
	// NoState: the peer has not finished its boot and has no state to return.
	NoState Code = "no_state"
	// BadMessage: a message of a peer cannot be decoded.
	BadMessage Code = "bad_message"
	// NotReady: the feed has not finished its boot.
	NotReady Code = "not_ready"
	// Encoding: a record cannot be encoded.
	Encoding Code = "encoding"
	// VerdictForgotten: so many notes followed that the verdict on this one is no longer kept.
	VerdictForgotten Code = "verdict_forgotten"
)

// Error describes a failed feed operation.
type Error struct {
	Code Code
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return "feed: " + string(e.Code)
	}
	return fmt.Sprintf("feed: %s: %v", e.Code, e.Err)
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }
