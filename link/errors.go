package link

import (
	"errors"
	"fmt"

	"github.com/cicadasill/cicadasill/machine"
)

// Code says how an exchange failed.
type Code string

// Failure codes. NotSent, WrongPeer and Busy prove that no handler of the peer ran.
const (
	// NotSent: no byte of the exchange reached a handler of the peer.
	NotSent Code = "not_sent"
	// Unknown: the peer may have handled the exchange.
	Unknown Code = "unknown"
	// WrongPeer: the address is served by another instance or another incarnation.
	WrongPeer Code = "wrong_peer"
	// Refused: the handler of the peer returned an error.
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
	// RemoteCode and RemoteMessage are the peer's statement, for Refused and Busy.
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
		s += fmt.Sprintf(": peer says %s %s", e.RemoteCode, e.RemoteMessage)
	}
	if e.Err != nil {
		s += ": " + e.Err.Error()
	}
	return s
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }

// NotRun reports whether the error proves that no handler of the peer ran.
func (e *Error) NotRun() bool {
	return e.Code == NotSent || e.Code == WrongPeer || e.Code == Busy
}

// CodeOf returns the code of err, or Unknown when err carries none.
func CodeOf(err error) Code {
	var e *Error
	if errors.As(err, &e) {
		return e.Code
	}
	return Unknown
}

// RemoteError lets a handler choose the code that the caller finds in Error.RemoteCode.
type RemoteError struct {
	Code    string
	Message string
}

// Error implements error.
func (e *RemoteError) Error() string { return e.Code + ": " + e.Message }

// Codes that a peer states about an exchange that reached no handler.
const (
	remoteBusy          = "busy"
	remoteUnknownMethod = "unknown_method"
	remoteHandlerError  = "handler_error"
)

// fault is the Code of a typed cause inside the package.
type fault string

func (f fault) Error() string { return string(f) }

// Causes that Error.Err may hold.
const (
	errClosed        = fault("node is closed")
	errBackoff       = fault("last dial failed, waiting before the next one")
	errSilent        = fault("no answer on an idle session")
	errSessionEnded  = fault("session ended while the exchange waited")
	errProtocol      = fault("peer speaks another protocol version")
	errHandshake     = fault("handshake failed")
	errCutShort      = fault("response ended before its end frame")
	errBodyTooLarge  = fault("request body exceeds the limit")
	errNoStatusFrame = fault("first response frame has no status")
)
