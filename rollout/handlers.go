package rollout

import (
	"bytes"
	"encoding/json"
	"errors"
	"net/http"
	"strconv"

	"github.com/julienschmidt/httprouter"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/httpguard"
	"github.com/cicadasill/cicadasill/intake"
)

func (s *Server) handleOpen(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	s.serveStep(w, r, p, func(_ *contract.Service, key stepKey, body []byte) (any, *Error) {
		var req OpenRequest
		if err := decodeBody(body, &req); err != nil {
			return nil, err
		}
		if err := validateOpen(&req); err != nil {
			return nil, err
		}
		st, refusal := s.openStep(key, &req, req.hash())
		if refusal != nil {
			return nil, refusal
		}
		return OpenResponse{Step: key.step, Samples: len(st.samples)}, nil
	})
}

func (s *Server) handleTake(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	s.serveStep(w, r, p, func(svc *contract.Service, key stepKey, body []byte) (any, *Error) {
		var req TakeRequest
		if err := decodeBody(body, &req); err != nil {
			return nil, err
		}
		st, refusal := s.lookup(key)
		if refusal != nil {
			return nil, refusal
		}
		resp, refusal := st.take(r.Context(), svc, &req)
		if refusal != nil {
			return nil, refusal
		}
		return resp, nil
	})
}

func (s *Server) handleAck(w http.ResponseWriter, r *http.Request, p httprouter.Params) {
	s.serveStep(w, r, p, func(_ *contract.Service, key stepKey, _ []byte) (any, *Error) {
		s.ack(key)
		return struct {
			Step int64 `json:"step"`
		}{key.step}, nil
	})
}

// serveStep resolves the step in the path, then forwards the request to the owner or runs op here.
func (s *Server) serveStep(w http.ResponseWriter, r *http.Request, p httprouter.Params,
	op func(*contract.Service, stepKey, []byte) (any, *Error)) {
	svc, key, refusal := s.resolveStep(p)
	if refusal != nil {
		writeError(w, refusal)
		return
	}
	body, release, err := httpguard.ReadBody(s.opts.Bodies, w, r, intake.Body{Limit: maxBodyBytes, Factor: bodyFactor})
	defer release()
	if errors.Is(err, intake.ErrFull) {
		httpguard.RefuseBody(w, r, func() { writeError(w, errorf(CodeBusy, "%v", err)) })
		return
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		writeError(w, errorf(CodeStepTooLarge, "body exceeds %d bytes", tooLarge.Limit))
		return
	}
	if err != nil {
		writeError(w, errorf(CodeBadRequest, "body: %v", err))
		return
	}
	if s.forwardToOwner(w, r, key, body) {
		return
	}
	out, refusal := op(svc, key, body)
	if refusal != nil {
		writeError(w, refusal)
		return
	}
	writeJSON(w, http.StatusOK, out)
}

// resolveStep returns the service and the step that the path names.
func (s *Server) resolveStep(p httprouter.Params) (*contract.Service, stepKey, *Error) {
	key := stepKey{service: p.ByName("service"), trainer: p.ByName("trainer")}
	svc, ok := s.opts.Directory.Service(key.service)
	if !ok {
		return nil, key, errorf(CodeUnknownService, "unknown service %q", key.service)
	}
	if svc.Rollout == nil {
		return nil, key, errorf(CodeNoRollouts, "service %q has no rollout terms", key.service)
	}
	if _, ok := svc.Trainer(key.trainer); !ok {
		return nil, key, errorf(CodeNotATrainer, "%q is not a trainer of %q", key.trainer, key.service)
	}
	n, err := strconv.ParseInt(p.ByName("step"), 10, 64)
	if err != nil || n < 0 {
		return nil, key, errorf(CodeBadRequest, "step %q is not a number", p.ByName("step"))
	}
	key.step = n
	return svc, key, nil
}

func decodeBody(body []byte, into any) *Error {
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(into); err != nil {
		return errorf(CodeBadRequest, "body: %v", err)
	}
	return nil
}

func validateOpen(req *OpenRequest) *Error {
	total := 0
	seen := make(map[string]bool, len(req.Groups))
	for i, g := range req.Groups {
		if g.ID == "" || seen[g.ID] {
			return errorf(CodeBadRequest, "groups[%d].id: empty or repeated", i)
		}
		if g.Samples < 1 || g.Samples > maxSamplesPerStep || g.MaxTokens < 1 || g.MaxTokens > maxTokensPerTake {
			return errorf(CodeBadRequest, "groups[%d]: samples or max_tokens out of range", i)
		}
		seen[g.ID] = true
		total += g.Samples
	}
	if total < 1 || total > maxSamplesPerStep {
		return errorf(CodeBadRequest, "%d samples, want 1 to %d", total, maxSamplesPerStep)
	}
	return nil
}
