package gateway

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/flood"
	"github.com/cicadasill/cicadasill/httpguard"
	"github.com/cicadasill/cicadasill/intake"
	"github.com/cicadasill/cicadasill/machine"
)

// bodyFactor is the memory that a request takes in relation to its body: what is decoded from it, and a copy that is sent on.
const bodyFactor = 3

// maxKeyBytes limits the length of the header Cicadasill-Key.
const maxKeyBytes = 256

// request is one request of a caller and what is known about whether it ran.
type request struct {
	id          string
	service     *contract.Service
	call        contract.Call
	key         string
	attempt     int // the caller's attempt number, 0 if not stated
	deadline    time.Time
	contentType string
	body        []byte
	releaseBody func()        // returns the memory of the body
	forwarded   bool          // by another instance
	generate    *generateBody // nil unless the call goes to engines

	hasTicket       bool    // the claim succeeded and gave this instance a ticket
	releaseOutcome  Outcome // the outcome that a refusal states once the request has a ticket
	ownerMayRun     bool    // the request was forwarded and the owner may run it or have run it
	mayHaveRun      bool    // a back end may have received the request and did not state that it ran nothing
	reason          string  // metric label of an answered request
	backendAttempts int     // attempts so far, used in their ids
}

// generateBody is the body of an engine call.
type generateBody struct {
	Prompt    string `json:"prompt"`
	MaxTokens int    `json:"max_tokens"`
	Stream    bool   `json:"stream"`
	PrefixID  string `json:"prefix_id"`
	Seed      int64  `json:"seed"`
}

// refusalOutcome returns the outcome that a refusal can state truthfully. A request with a
// key may have run in an earlier attempt until a claim proves otherwise.
func (r *request) refusalOutcome() Outcome {
	switch {
	case r.mayHaveRun || r.ownerMayRun:
		return Unknown
	case r.hasTicket:
		return r.releaseOutcome
	case r.key == "" || r.attempt == 1 || r.call.Idempotent:
		return NotRun
	default:
		return Unknown
	}
}

// newRefusal returns an error response that refuses the request.
func (r *request) newRefusal(status int, code Code, format string, args ...any) *Error {
	return &Error{Code: code, Status: status, Outcome: r.refusalOutcome(), Message: fmt.Sprintf(format, args...)}
}

// parse reads and validates the request without contacting another machine. It always
// returns a request, so that a refusal can state an id and an outcome.
func (g *Gateway) parse(w http.ResponseWriter, in *http.Request, p httprouter.Params) (*request, *Error) {
	r := &request{
		id: g.nextRequestID(), key: in.Header.Get(HeaderKey),
		contentType: in.Header.Get("Content-Type"), forwarded: in.Header.Get(HeaderForwarded) != "", releaseBody: func() {},
	}
	if e := r.parseAttempt(in.Header.Get(HeaderAttempt)); e != nil {
		return r, e
	}
	if e := g.lookupCall(r, p.ByName("service"), p.ByName("call")); e != nil {
		return r, e
	}
	if e := r.parseDeadline(in.Header.Get(HeaderDeadline), g.opts.MaxDeadline); e != nil {
		return r, e
	}
	if len(r.key) > maxKeyBytes {
		return r, r.newRefusal(http.StatusBadRequest, InvalidHeader, "%s is longer than %d bytes", HeaderKey, maxKeyBytes)
	}
	if !r.call.Idempotent && r.key == "" {
		return r, r.newRefusal(http.StatusBadRequest, KeyRequired, "call %s is non-idempotent and needs the header %s", r.call.Name, HeaderKey)
	}
	if e := g.readBody(r, w, in); e != nil {
		return r, e
	}
	if r.service.Kind == machine.Sampler {
		return r, g.parseGenerate(r)
	}
	return r, nil
}

func (r *request) parseAttempt(s string) *Error {
	if s == "" {
		return nil
	}
	n, err := strconv.Atoi(s)
	if err != nil || n < 1 {
		return r.newRefusal(http.StatusBadRequest, InvalidHeader, "%s must be a whole number from 1", HeaderAttempt)
	}
	r.attempt = n
	return nil
}

func (r *request) parseDeadline(s string, maxDeadline time.Duration) *Error {
	d := r.call.Deadline()
	if s != "" {
		ms, err := strconv.ParseInt(s, 10, 64)
		if err != nil || ms < 1 {
			return r.newRefusal(http.StatusBadRequest, InvalidHeader, "%s must be a whole number of milliseconds from 1", HeaderDeadline)
		}
		d = time.Duration(min(ms, maxDeadline.Milliseconds())) * time.Millisecond
	}
	r.deadline = time.Now().Add(min(d, maxDeadline))
	return nil
}

// lookupCall finds the service and the call in the catalog.
func (g *Gateway) lookupCall(r *request, service, call string) *Error {
	s, ok := g.opts.Service(service)
	if !ok {
		return r.newRefusal(http.StatusNotFound, UnknownService, "there is no service %q", service)
	}
	r.service = s
	c, ok := s.Call(call)
	if !ok {
		return r.newRefusal(http.StatusNotFound, UnknownCall, "service %s has no call %q", service, call)
	}
	if s.Kind == machine.Sampler && !c.Idempotent {
		return r.newRefusal(http.StatusBadRequest, NonIdempotentEngineCall, "call %s goes to engines and must be idempotent in its contract", call)
	}
	r.call = c
	return nil
}

func (g *Gateway) readBody(r *request, w http.ResponseWriter, in *http.Request) *Error {
	var err error
	r.body, r.releaseBody, err = httpguard.ReadBody(g.opts.Bodies, w, in, intake.Body{Limit: g.opts.MaxBody, Factor: bodyFactor})
	var tooLarge *http.MaxBytesError
	switch {
	case err == nil:
		return nil
	case errors.Is(err, intake.ErrFull):
		e := r.newRefusal(http.StatusServiceUnavailable, BodiesFull, "%v", err)
		e.RetryAfter, e.bodyUnread = flood.DefaultStallTime, true
		return e
	case errors.As(err, &tooLarge):
		return r.newRefusal(http.StatusRequestEntityTooLarge, BodyTooLarge, "the body exceeds %d bytes", g.opts.MaxBody)
	default:
		return r.newRefusal(http.StatusBadRequest, BodyIncomplete, "the body is incomplete: %v", err)
	}
}

func (g *Gateway) parseGenerate(r *request) *Error {
	r.generate = &generateBody{}
	dec := json.NewDecoder(bytes.NewReader(r.body))
	dec.DisallowUnknownFields()
	if err := dec.Decode(r.generate); err != nil {
		return r.newRefusal(http.StatusBadRequest, InvalidBody, "the body is not a generate request: %v", err)
	}
	if _, err := dec.Token(); err != io.EOF {
		return r.newRefusal(http.StatusBadRequest, InvalidBody, "the body holds more than one JSON value")
	}
	if r.generate.Prompt == "" {
		return r.newRefusal(http.StatusBadRequest, InvalidBody, "prompt must not be empty")
	}
	if r.generate.MaxTokens < 1 || r.generate.MaxTokens > g.opts.MaxTokens {
		return r.newRefusal(http.StatusBadRequest, InvalidBody, "max_tokens must be from 1 to %d", g.opts.MaxTokens)
	}
	return nil
}

// withDeadline returns a context that ends at the request's deadline.
func (r *request) withDeadline(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithDeadline(ctx, r.deadline)
}

// newAttemptID returns a unique id for one attempt at a back end.
func (r *request) newAttemptID() string {
	r.backendAttempts++
	return r.id + "-" + strconv.Itoa(r.backendAttempts)
}
