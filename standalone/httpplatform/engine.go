package httpplatform

import (
	"bufio"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"sync"

	jsonv2 "github.com/go-json-experiment/json"

	"github.com/cicadasill/cicadasill/standalone/platform"
)

// maxEventBytes bounds the length of one line of an engine's answer.
const maxEventBytes = 1 << 20

// Engine is the client of model engines. It implements platform.Engine.
type Engine struct{ *client }

var _ platform.Engine = (*Engine)(nil)

// NewEngine returns a client of model engines.
func NewEngine(opts Options) *Engine { return &Engine{client: newClient(opts)} }

// Generate implements platform.Engine.
func (e *Engine) Generate(ctx context.Context, addr string, req platform.GenerateRequest) (platform.GenerateStream, error) {
	const op = "generate"
	body, err := json.Marshal(req)
	if err != nil {
		return nil, newError(platform.NotSent, op, err)
	}
	x, err := e.do(ctx, call{
		op: op, method: http.MethodPost, addr: addr, path: "/v1/generate", contentType: "application/json",
		requestID: req.RequestID, body: body,
	})
	if err != nil {
		return nil, err
	}
	if status, header := x.resp.StatusCode, x.resp.Header; status != http.StatusOK {
		data, err := x.readAll(e.opts.MaxAnswerBytes)
		if err != nil {
			return nil, err
		}
		return nil, errorFromResponse(op, status, header, data)
	}
	lines := bufio.NewScanner(x)
	lines.Buffer(make([]byte, 0, 4096), maxEventBytes)
	return &stream{x: x, lines: lines, requestID: req.RequestID, nextIndex: len(req.ResumeTokens)}, nil
}

// Cancel implements platform.Engine.
func (e *Engine) Cancel(ctx context.Context, addr, requestID string) error {
	body, _ := json.Marshal(map[string]string{"request_id": requestID})
	return e.json(ctx, call{
		op: "cancel", method: http.MethodPost, addr: addr, path: "/v1/cancel",
		contentType: "application/json", body: body,
	}, nil)
}

// Load implements platform.Engine.
func (e *Engine) Load(ctx context.Context, addr string) (platform.LoadReport, error) {
	var out platform.LoadReport
	err := e.json(ctx, call{op: "load report", method: http.MethodGet, addr: addr, path: "/v1/load"}, &out)
	return out, err
}

// CacheEvents implements platform.Engine.
func (e *Engine) CacheEvents(ctx context.Context, addr string, after int64) ([]platform.CacheEvent, error) {
	var out []platform.CacheEvent
	err := e.json(ctx, call{
		op: "cache events", method: http.MethodGet, addr: addr, path: "/v1/cache-events",
		query: url.Values{"after": {strconv.FormatInt(after, 10)}},
	}, &out)
	return out, err
}

// Order implements platform.Engine.
func (e *Engine) Order(ctx context.Context, addr string, order platform.Order) error {
	body, err := json.Marshal(order)
	if err != nil {
		return newError(platform.NotSent, "order", err)
	}
	return e.json(ctx, call{
		op: "order", method: http.MethodPost, addr: addr, path: "/v1/orders",
		contentType: "application/json", body: body,
	}, nil)
}

// stream reads an engine's NDJSON answer. It implements platform.GenerateStream.
type stream struct {
	x         *exchange
	lines     *bufio.Scanner
	requestID string
	nextIndex int // index that the next event with tokens must have
	done      bool
	err       error
	closeOnce sync.Once
}

// Next implements platform.GenerateStream.
func (s *stream) Next() (platform.GenerateEvent, error) {
	if s.err != nil {
		return platform.GenerateEvent{}, s.err
	}
	if s.done {
		return platform.GenerateEvent{}, io.EOF
	}
	event, err := s.read()
	if err != nil {
		s.err = err
		_ = s.Close()
	}
	return event, err
}

// read returns the next event and skips empty lines.
func (s *stream) read() (platform.GenerateEvent, error) {
	var event platform.GenerateEvent
	for s.lines.Scan() {
		line := s.lines.Bytes()
		if len(line) == 0 { // keep-alive of an engine that has no event to send yet
			continue
		}
		if err := jsonv2.Unmarshal(line, &event); err != nil {
			return platform.GenerateEvent{}, newError(platform.BadAnswer, s.x.op, err)
		}
		if err := s.check(event); err != nil {
			return platform.GenerateEvent{}, newError(platform.BadAnswer, s.x.op, err)
		}
		if event.Done {
			s.done = true
			s.lines.Scan() // reads to the end of the body, so that the connection can be reused
			_ = s.Close()
		}
		return event, nil
	}
	err := s.lines.Err()
	if err == nil || errors.Is(err, io.ErrUnexpectedEOF) || errors.Is(err, bufio.ErrTooLong) {
		return event, newError(platform.BadAnswer, s.x.op, fmt.Errorf("answer ended before its final event: %w", errors.Join(err, io.ErrUnexpectedEOF)))
	}
	return event, newError(platform.OutcomeUnknown, s.x.op, s.x.cause(err))
}

// check verifies that event belongs to this request and continues the sequence without a gap
// or a repetition.
func (s *stream) check(event platform.GenerateEvent) error {
	if event.RequestID != s.requestID {
		return &EchoError{Want: s.requestID, Got: event.RequestID}
	}
	if len(event.Tokens) > 0 {
		if event.Index != s.nextIndex {
			return fmt.Errorf("event starts at token index %d, expected %d", event.Index, s.nextIndex)
		}
		s.nextIndex += len(event.Tokens)
	}
	if event.Done && event.Total != s.nextIndex {
		return fmt.Errorf("final event states a total of %d tokens, but %d were received", event.Total, s.nextIndex)
	}
	return nil
}

// Close implements platform.GenerateStream.
func (s *stream) Close() error {
	s.closeOnce.Do(s.x.close)
	return nil
}
