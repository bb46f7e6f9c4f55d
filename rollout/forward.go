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
)

// forward sends the request to the step's owner and reports whether it answered. A request that was
// forwarded already is served here, so that two views that differ do not send it in a circle. When
// the owner cannot be reached the request is served here too: takes carry all that is needed.
func (s *Server) forward(w http.ResponseWriter, r *http.Request, key stepKey, body []byte) bool {
	if s.opts.Owner == nil || s.opts.Forward == nil || r.Header.Get(ForwardedHeader) != "" {
		return false
	}
	self := s.opts.View.Self()
	owner := s.opts.Owner(key.owner(), s.opts.View.Live())
	if owner.Ref() == self.Ref() || owner.ID == "" {
		return false
	}
	ctx, span := otel.Tracer(tracerName).Start(r.Context(), "rollout.forward")
	defer span.End()
	span.SetAttributes(attribute.String("owner", owner.ID))
	ctx, cancel := context.WithTimeout(ctx, s.opts.ForwardMargin+takeWait(body))
	defer cancel()
	req := r.Clone(ctx)
	req.RequestURI = ""
	req.Body = io.NopCloser(bytes.NewReader(body))
	req.ContentLength = int64(len(body))
	req.Header.Set(ForwardedHeader, self.ID)
	resp, err := s.opts.Forward(ctx, owner, req)
	if err != nil {
		s.log.Warn("owner unreachable, serving locally", "owner", owner.ID, "key", key.owner(), "err", err)
		return r.Context().Err() != nil
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.Header.Get(reasonHeader) == string(CodeStepNotOpen) && s.isOpen(key) {
		// The step was opened here while its owner could not be reached, or with a body too large to
		// forward; sending the trainer to open it at the owner again would not end.
		return false
	}
	s.relay(w, resp)
	return true
}

func (s *Server) isOpen(key stepKey) bool {
	_, refusal := s.lookup(key)
	return refusal == nil
}

// relay copies the owner's response once it is whole, so that a cut response is never taken for one.
func (s *Server) relay(w http.ResponseWriter, resp *http.Response) {
	data, err := io.ReadAll(resp.Body)
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

// takeWait returns the wait that a take asks for; other bodies have none.
func takeWait(body []byte) time.Duration {
	var req struct {
		WaitMs int `json:"wait_ms"`
	}
	// A body that does not parse is refused by its owner.
	_ = json.Unmarshal(body, &req)
	return min(time.Duration(max(0, req.WaitMs))*time.Millisecond, maxTakeWait)
}
