package httpplatform

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"net/url"
	"strconv"
	"strings"
	"time"

	"github.com/cicadasill/cicadasill/standalone/platform"
)

// ErrorBody is the JSON body with which a server refuses a request.
type ErrorBody struct {
	Code    platform.Code `json:"code"`
	Message string        `json:"message,omitempty"`
}

// Log is the client of the append-only log. It implements platform.Log.
type Log struct {
	*client
	addr string
}

var _ platform.Log = (*Log)(nil)

// NewLog returns a client of the log at addr, given as host:port or http://host:port.
func NewLog(addr string, opts Options) *Log {
	return &Log{client: newClient(opts), addr: hostPort(addr)}
}

// hostPort returns the host:port of addr, which is a base URL or already host:port.
func hostPort(addr string) string {
	return strings.TrimSuffix(strings.TrimPrefix(addr, "http://"), "/")
}

// Append implements platform.Log.
func (l *Log) Append(ctx context.Context, stream string, data []byte) (int64, error) {
	var out struct {
		Offset *int64 `json:"offset"`
	}
	c := call{
		op: "log append", method: http.MethodPost, addr: l.addr, path: streamPath(stream),
		contentType: "application/octet-stream", body: data, nonIdempotent: true,
	}
	if data == nil {
		c.body = []byte{}
	}
	if err := l.json(ctx, c, &out); err != nil {
		return 0, err
	}
	if out.Offset == nil {
		return 0, newError(platform.BadAnswer, c.op, fmt.Errorf("append answer has no offset"))
	}
	return *out.Offset, nil
}

// Read implements platform.Log.
func (l *Log) Read(ctx context.Context, stream string, from int64, max int, wait time.Duration) (platform.Page, error) {
	c := call{
		op: "log read", method: http.MethodGet, addr: l.addr, path: streamPath(stream), wait: wait,
		query: url.Values{
			"from":    {strconv.FormatInt(from, 10)},
			"max":     {strconv.Itoa(max)},
			"wait_ms": {strconv.FormatInt(wait.Milliseconds(), 10)},
		},
	}
	var page platform.Page
	if err := l.json(ctx, c, &page); err != nil {
		return platform.Page{}, err
	}
	for i, r := range page.Records {
		if r.Offset != from+int64(i) {
			return platform.Page{}, newError(platform.BadAnswer, c.op, fmt.Errorf("record has offset %d, expected %d", r.Offset, from+int64(i)))
		}
	}
	return page, nil
}

func streamPath(stream string) string { return "/v1/streams/" + stream + "/records" }

// json sends the request in and decodes the complete answer into out, unless that is nil.
func (c *client) json(ctx context.Context, in call, out any) error {
	x, err := c.do(ctx, in)
	if err != nil {
		return err
	}
	status, header := x.resp.StatusCode, x.resp.Header
	data, err := x.readAll(c.opts.MaxAnswerBytes)
	if err != nil {
		return err
	}
	if status != http.StatusOK {
		return errorFromResponse(in.op, status, header, data)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return newError(platform.BadAnswer, in.op, err)
	}
	return nil
}

// errorFromResponse maps an answer with a status other than 200 to an error. A 4xx answer, or
// one whose header or error code states that nothing was done, becomes an error without effect;
// any other answer becomes OutcomeUnknown.
func errorFromResponse(op string, status int, header http.Header, data []byte) error {
	cause := &StatusError{Status: status, Body: string(data[:min(len(data), 256)])}
	if header.Get(HeaderNotRun) == "1" {
		if header.Get(HeaderLeaving) == "1" {
			return newError(platform.LeavingBackend, op, cause)
		}
		return newError(platform.Unavailable, op, cause)
	}
	var body ErrorBody
	_ = json.Unmarshal(data, &body)
	switch {
	case status == http.StatusServiceUnavailable && body.Code == platform.Unavailable,
		status == http.StatusTooManyRequests && body.Code == platform.RateLimited,
		status == http.StatusGone && body.Code == platform.Expired,
		status == http.StatusConflict && body.Code == platform.Refused:
		return newError(body.Code, op, cause)
	case status >= 400 && status < 500:
		return newError(platform.Refused, op, cause)
	default:
		return newError(platform.OutcomeUnknown, op, cause)
	}
}
