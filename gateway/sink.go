package gateway

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	jsonv2 "github.com/go-json-experiment/json"
)

// streamLine is one line of a streamed answer.
type streamLine struct {
	Index   int     `json:"index"`
	Tokens  []int64 `json:"tokens"`
	Version int64   `json:"version"`
}

// streamEnd is the last line of a streamed answer.
type streamEnd struct {
	Done  bool `json:"done"`
	Total int  `json:"total"`
}

var buffers = sync.Pool{New: func() any { return &bytes.Buffer{} }}

// streamSink writes an ndjson stream. The status and headers go out with the first
// tokens, so that a failure before them is an ordinary error response.
type streamSink struct {
	w       http.ResponseWriter
	control *http.ResponseController
	buffer  *bytes.Buffer
	line    streamLine
	begun   bool
}

func newStreamSink(w http.ResponseWriter, deadline time.Time) *streamSink {
	s := &streamSink{w: w, control: http.NewResponseController(w), buffer: buffers.Get().(*bytes.Buffer)}
	// A caller that reads nothing holds its engine no longer than its own deadline.
	_ = s.control.SetWriteDeadline(deadline)
	return s
}

func (s *streamSink) close() {
	_ = s.control.SetWriteDeadline(time.Time{})
	buffers.Put(s.buffer)
}

func (s *streamSink) started() bool { return s.begun }

func (s *streamSink) begin() {
	if s.begun {
		return
	}
	s.begun = true
	h := s.w.Header()
	h.Set("Content-Type", "application/x-ndjson")
	h.Set(HeaderOutcome, string(Answered))
	s.w.WriteHeader(http.StatusOK)
}

func (s *streamSink) event(index int, tokens []int64, version int64) error {
	s.line = streamLine{index, tokens, version}
	return s.write(&s.line)
}

func (s *streamSink) end(total int) { _ = s.write(&streamEnd{true, total}) }

// fail writes an error as the last line. A stream without a done line is incomplete.
func (s *streamSink) fail(e *Error) { _ = s.write(e.body()) }

func (s *streamSink) write(line any) error {
	s.begin()
	s.buffer.Reset()
	if err := jsonv2.MarshalWrite(s.buffer, line); err != nil {
		return err
	}
	s.buffer.WriteByte('\n')
	if _, err := s.w.Write(s.buffer.Bytes()); err != nil {
		return err
	}
	return s.control.Flush()
}

// versionRange says which tokens a weight version produced: from inclusive, to exclusive.
type versionRange struct {
	Version int64 `json:"version"`
	From    int   `json:"from"`
	To      int   `json:"to"`
}

// wholeAnswer is the answer of a call that does not stream.
type wholeAnswer struct {
	Tokens   []int64        `json:"tokens"`
	Versions []versionRange `json:"versions"`
	Total    int            `json:"total"`
}

// wholeSink collects the answer; the tokens themselves are kept by the generation.
type wholeSink struct {
	w      http.ResponseWriter
	gen    *generation
	ranges []versionRange
}

func (s *wholeSink) started() bool { return false }

func (s *wholeSink) fail(*Error) {}

func (s *wholeSink) event(index int, tokens []int64, version int64) error {
	if n := len(s.ranges); n > 0 && s.ranges[n-1].Version == version {
		s.ranges[n-1].To = index + len(tokens)
		return nil
	}
	s.ranges = append(s.ranges, versionRange{version, index, index + len(tokens)})
	return nil
}

func (s *wholeSink) end(total int) {
	h := s.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, string(Answered))
	s.w.WriteHeader(http.StatusOK)
	answer := wholeAnswer{s.gen.tokens, s.ranges, total}
	if answer.Tokens == nil {
		answer.Tokens, answer.Versions = []int64{}, []versionRange{}
	}
	_ = json.NewEncoder(s.w).Encode(answer)
}
