package link

import (
	"errors"
	"fmt"

	"github.com/cicadasill/cicadasill/machine"
)

// Code classifies the failure of an exchange.
type Code string

// Failure codes. NotSent, WrongPeer and Busy prove that no handler of the peer ran.
const (
	// NotSent: the exchange reached no handler of the peer.
	NotSent Code = "not_sent"
	// Unknown: the peer may have handled the exchange.
	Unknown Code = "unknown"
	// WrongPeer: the address is served by another instance or another incarnation.
	WrongPeer Code = "wrong_peer"
	// Refused: the handler of the peer returned an error, and not because the caller had cancelled the
	// exchange or its time was up: such an exchange ends as Unknown.
	Refused Code = "refused"
	// Busy: the peer stated that it did not start the exchange.
	Busy Code = "busy"
)

// Error is the failure of an exchange.
type Error struct {
	Code Code
	// Op is the method of the exchange.
	Op string
	// To is the instance that was addressed.
	To machine.Ref
	// Actual is the instance that answered, for WrongPeer.
	Actual machine.Instance
	// RemoteCode and RemoteMessage are the error that the peer returned, for Refused and Busy.
	RemoteCode    string
	RemoteMessage string
	Err           error
}

// Error implements error.
func (e *Error) Error() string {
	s := fmt.Sprintf("link %s to %s: %s", e.Op, e.To, e.Code)
	if e.Code == WrongPeer {
		s += fmt.Sprintf(": answered by %s", e.Actual.Ref())
	}
	if e.RemoteCode != "" || e.RemoteMessage != "" {
		s += fmt.Sprintf(": peer returned %s %s", e.RemoteCode, e.RemoteMessage)
	}
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the underlying error.
func (e *Error) Unwrap() error { return e.Err }

// NotRun reports whether the error proves that no handler of the peer ran.
func (e *Error) NotRun() bool {
	return e.Code == NotSent || e.Code == WrongPeer || e.Code == Busy
}

// CodeOf returns the code of the Error in the chain of err, or Unknown when there is none.
func CodeOf(err error) Code {
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return Unknown
}

// RemoteError is a handler's error whose code the caller receives in Error.RemoteCode.
type RemoteError struct {
	Code    string
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string { return e.Code + ": " + e.Message }

// Error codes that this package sets in a response. remoteBusy and remoteUnknownMethod state that
// no handler ran; remoteHandlerError stands for a handler's error that is no RemoteError.
const (
	remoteBusy          = "busy"
	remoteUnknownMethod = "unknown_method"
	remoteHandlerError  = "handler_error"
)

// constError is an error whose values can be declared as constants.
type constError string

func (e constError) Error() string { return string(e) }

// Underlying errors of an Error.
const (
	errClosed        = constError("node is closed")
	errBackoff       = constError("no dial during the backoff after failed dials")
	errPingFailed    = constError("idle session did not answer a ping")
	errSessionEnded  = constError("session ended before the response arrived")
	errProtocol      = constError("peer uses an unsupported protocol version")
	errHandshake     = constError("handshake failed")
	errTruncated     = constError("response ended before its end frame")
	errBodyTooLarge  = constError("request body exceeds the limit")
	errNoStatusFrame = constError("first response frame has no status")
)
