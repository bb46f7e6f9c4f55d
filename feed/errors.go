package feed

import "fmt"

// Code says why a feed operation failed.
type Code string

// Failures of a feed operation.
const (
	// LogUnavailable: the record was not appended.
	LogUnavailable Code = "log_unavailable"
	// OutcomeUnknown: the record may have been or may still be appended. Repeating the
	// operation is safe.
	OutcomeUnknown Code = "outcome_unknown"
	// VersionWithdrawn: the version was withdrawn, or is below the oldest one that is
	// remembered, and cannot be announced again.
	VersionWithdrawn Code = "version_withdrawn"
	// UnknownService: the service does not exist.
	UnknownService Code = "unknown_service"
	// InvalidVersion: a version is a positive number.
	InvalidVersion Code = "invalid_version"
	// HistoryLost: the log has no snapshot from which its retained records continue.
	HistoryLost Code = "history_lost"
	// LogBehind: the log ends before the offset that this instance has applied.
	LogBehind Code = "log_behind"
	// ChainMismatch: records do not extend the local chain hash.
	ChainMismatch Code = "chain_mismatch"
	// Gap: records start after the next offset to apply.
	Gap Code = "gap"
	// NoState: the peer has no state to give.
	NoState Code = "no_state"
	// BadMessage: a peer's message cannot be decoded.
	BadMessage Code = "bad_message"
	// NotReady: the feed has not finished its boot.
	NotReady Code = "not_ready"
	// Encoding: a record cannot be encoded.
	Encoding Code = "encoding"
	// VerdictForgotten: so many notes followed that this one's verdict is no longer kept.
	VerdictForgotten Code = "verdict_forgotten"
)

// Error is the failure of a feed operation.
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

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
