package rollout

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"time"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"

	"github.com/cicadasill/cicadasill/intake"
)

// forwardToOwner sends the request to the step's owner and reports whether the request needs no further
// handling here. A request that was forwarded already is served here, so that instances with different
// views do not forward it in a loop. If the owner cannot be reached, the request is served here too,
// since takes carry all the state that is needed.
func (s *Server) forwardToOwner(w http.ResponseWriter, r *http.Request, key stepKey, body []byte) bool {
	if s.opts.Owner == nil || s.opts.Forward == nil || r.Header.Get(ForwardedHeader) != "" {
		return false
	}
	self := s.opts.View.Self()
	owner := s.opts.Owner(key.ownershipKey(), s.opts.View.Live())
	if owner.Ref() == self.Ref() || owner.ID == "" {
		return false
	}
	ctx, span := otel.Tracer(tracerName).Start(r.Context(), "rollout.forward")
	defer span.End()
	span.SetAttributes(attribute.String("owner", owner.ID))
	ctx, cancel := context.WithTimeout(ctx, s.opts.ForwardMargin+requestedWait(body))
	defer cancel()
	req := r.Clone(ctx)
	req.RequestURI = ""
	req.Body = io.NopCloser(bytes.NewReader(body))
	req.ContentLength = int64(len(body))
	req.Header.Set(ForwardedHeader, self.ID)
	resp, err := s.opts.Forward(ctx, owner, req)
	if err != nil {
		s.log.Warn("owner unreachable, serving locally", "owner", owner.ID, "key", key.ownershipKey(), "err", err)
		return r.Context().Err() != nil
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.Header.Get(reasonHeader) == string(CodeStepNotOpen) && s.isOpen(key) {
		// The step was opened here while its owner could not be reached, or its body is too large to
		// forward. Relaying the refusal would make the trainer reopen the step again and again.
		return false
	}
	s.relayResponse(w, resp, cancel)
	return true
}

func (s *Server) isOpen(key stepKey) bool {
	_, refusal := s.lookup(key)
	return refusal == nil
}

// relayResponse copies the owner's response after reading it completely, so that a truncated response
// is never relayed as a complete one. cancel ends the reading.
func (s *Server) relayResponse(w http.ResponseWriter, resp *http.Response, cancel func()) {
	share := s.opts.Bodies.Open(maxRelayedBytes, cancel)
	defer share.Release()
	data, err := share.ReadAll(resp.Body, intake.Body{Length: -1, Limit: maxRelayedBytes})
	if err != nil {
		writeError(w, &Error{Code: CodeForwardFailed, Message: "the owner's response was cut short", Err: err})
		return
	}
	for _, h := range []string{"Content-Type", "Retry-After", reasonHeader} {
		if v := resp.Header.Get(h); v != "" {
			w.Header().Set(h, v)
		}
	}
	w.WriteHeader(resp.StatusCode)
	_, _ = w.Write(data)
}

// requestedWait returns the wait that the body of a take requests, 0 for other bodies.
func requestedWait(body []byte) time.Duration {
	var req struct {
		WaitMs int `json:"wait_ms"`
	}
	// The owner refuses a body that does not parse.
	_ = json.Unmarshal(body, &req)
	return min(time.Duration(max(0, req.WaitMs))*time.Millisecond, maxTakeWait)
}
