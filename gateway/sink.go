package gateway

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	jsonv2 "github.com/go-json-experiment/json"
)

// streamLine is a line of a streamed answer that carries tokens.
type streamLine struct {
	Index   int     `json:"index"`
	Tokens  []int64 `json:"tokens"`
	Version int64   `json:"version"`
}

// streamEnd is the last line of a complete streamed answer.
type streamEnd struct {
	Done  bool `json:"done"`
	Total int  `json:"total"`
}

var bufferPool = sync.Pool{New: func() any { return &bytes.Buffer{} }}

// streamSink writes an ndjson stream. It sends the status and headers with the first tokens,
// so that a failure before them becomes an ordinary error response.
type streamSink struct {
	w             http.ResponseWriter
	control       *http.ResponseController
	buffer        *bytes.Buffer
	line          streamLine
	headerWritten bool
}

func newStreamSink(w http.ResponseWriter, deadline time.Time) *streamSink {
	s := &streamSink{w: w, control: http.NewResponseController(w), buffer: bufferPool.Get().(*bytes.Buffer)}
	// The write deadline stops a caller that does not read from holding its engine beyond the
	// request's deadline.
	_ = s.control.SetWriteDeadline(deadline)
	return s
}

// close removes the write deadline and returns the buffer to the pool.
func (s *streamSink) close() {
	_ = s.control.SetWriteDeadline(time.Time{})
	bufferPool.Put(s.buffer)
}

func (s *streamSink) started() bool { return s.headerWritten }

func (s *streamSink) writeHeader() {
	if s.headerWritten {
		return
	}
	s.headerWritten = true
	h := s.w.Header()
	h.Set("Content-Type", "application/x-ndjson")
	h.Set(HeaderOutcome, string(Answered))
	s.w.WriteHeader(http.StatusOK)
}

func (s *streamSink) writeTokens(index int, tokens []int64, version int64) error {
	s.line = streamLine{index, tokens, version}
	return s.write(&s.line)
}

func (s *streamSink) writeEnd(total int) { _ = s.write(&streamEnd{true, total}) }

// writeError writes an error as the last line. A stream without a done line is incomplete.
func (s *streamSink) writeError(e *Error) { _ = s.write(e.body()) }

func (s *streamSink) write(line any) error {
	s.writeHeader()
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

// versionRange says which weight version produced the tokens with indexes in [From, To).
type versionRange struct {
	Version int64 `json:"version"`
	From    int   `json:"from"`
	To      int   `json:"to"`
}

// bufferedAnswer is the answer of a call that does not stream.
type bufferedAnswer struct {
	Tokens   []int64        `json:"tokens"`
	Versions []versionRange `json:"versions"`
	Total    int            `json:"total"`
}

// bufferedSink collects an answer that is not streamed. The generation holds its tokens.
type bufferedSink struct {
	w      http.ResponseWriter
	gen    *generation
	ranges []versionRange
}

func (s *bufferedSink) started() bool { return false }

func (s *bufferedSink) writeError(*Error) {}

func (s *bufferedSink) writeTokens(index int, tokens []int64, version int64) error {
	if n := len(s.ranges); n > 0 && s.ranges[n-1].Version == version {
		s.ranges[n-1].To = index + len(tokens)
		return nil
	}
	s.ranges = append(s.ranges, versionRange{version, index, index + len(tokens)})
	return nil
}

func (s *bufferedSink) writeEnd(total int) {
	h := s.w.Header()
	h.Set("Content-Type", "application/json")
	h.Set(HeaderOutcome, string(Answered))
	s.w.WriteHeader(http.StatusOK)
	answer := bufferedAnswer{s.gen.tokens, s.ranges, total}
	if answer.Tokens == nil {
		answer.Tokens, answer.Versions = []int64{}, []versionRange{}
	}
	_ = json.NewEncoder(s.w).Encode(answer)
}
