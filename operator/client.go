package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"time"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/release"
)

const (
	requestTimeout   = 15 * time.Second
	maxResponseBytes = 32 << 20
	jsonContentType  = "application/json"
)

// Client calls the operator API of one instance.
type Client struct {
	base string
	http *http.Client
}

// NewClient returns a client of the instance with the admin address addr, host:port.
func NewClient(addr string) *Client {
	return &Client{base: "http://" + addr, http: &http.Client{Timeout: requestTimeout}}
}

// UnreachableError reports that a call got no complete and valid response from the instance.
type UnreachableError struct {
	Addr string
	Err  error
}

// Error implements error.
func (e *UnreachableError) Error() string {
	return fmt.Sprintf("no valid response from %s: %v", e.Addr, e.Err)
}

// Unwrap returns the cause.
func (e *UnreachableError) Unwrap() error { return e.Err }

// ResponseError reports that the instance responded with an HTTP status of 400 or above.
type ResponseError struct {
	Status int
	Detail ErrorDetail
}

// Error implements error.
func (e *ResponseError) Error() string {
	if e.Detail.Code == "" {
		return fmt.Sprintf("HTTP status %d", e.Status)
	}
	return fmt.Sprintf("%s: %s", e.Detail.Code, e.Detail.Message)
}

// Status returns the status of the instance that the client calls.
func (c *Client) Status(ctx context.Context) (Status, error) {
	var out Status
	return out, c.do(ctx, http.MethodGet, "/v1/status", nil, &out)
}

// Instances returns the status of every live instance.
func (c *Client) Instances(ctx context.Context) ([]Status, error) {
	var out []Status
	return out, c.do(ctx, http.MethodGet, "/v1/instances", nil, &out)
}

// Services returns the contracts in force.
func (c *Client) Services(ctx context.Context) ([]contract.Service, error) {
	var out []contract.Service
	return out, c.do(ctx, http.MethodGet, "/v1/services", nil, &out)
}

// Service returns the contract of one service.
func (c *Client) Service(ctx context.Context, name string) (contract.Service, error) {
	var out contract.Service
	return out, c.do(ctx, http.MethodGet, "/v1/services/"+url.PathEscape(name), nil, &out)
}

// Backends returns a service's back ends as the instance sees them.
func (c *Client) Backends(ctx context.Context, service string) ([]Backend, error) {
	var out []Backend
	return out, c.do(ctx, http.MethodGet, "/v1/services/"+url.PathEscape(service)+"/backends", nil, &out)
}

// CheckNote validates a note without publishing it.
func (c *Client) CheckNote(ctx context.Context, note []byte) error {
	return c.do(ctx, http.MethodPost, "/v1/note-checks", note, nil)
}

// PublishNote publishes a note and returns its verdict. A repeated call with the same note has no
// second effect. If the note is refused, the error is a *ResponseError whose detail holds the
// verdict.
func (c *Client) PublishNote(ctx context.Context, note []byte) (release.Verdict, error) {
	var out release.Verdict
	return out, c.do(ctx, http.MethodPost, "/v1/notes", note, &out)
}

// Notes returns the recent notes and their verdicts.
func (c *Client) Notes(ctx context.Context) ([]NoteRecord, error) {
	var out []NoteRecord
	return out, c.do(ctx, http.MethodGet, "/v1/notes", nil, &out)
}

// InForce reports which instances have applied a note.
func (c *Client) InForce(ctx context.Context, id string) (InForce, error) {
	var out InForce
	return out, c.do(ctx, http.MethodGet, "/v1/notes/"+url.PathEscape(id)+"/in-force", nil, &out)
}

// Drain starts the planned stop of the instance.
func (c *Client) Drain(ctx context.Context) error {
	return c.do(ctx, http.MethodPost, "/v1/drain", nil, nil)
}

// do sends a request with an optional JSON body and decodes the JSON response into out, unless out is
// nil.
func (c *Client) do(ctx context.Context, method, path string, body []byte, out any) error {
	req, err := http.NewRequestWithContext(ctx, method, c.base+path, bytes.NewReader(body))
	if err != nil {
		return &UnreachableError{Addr: c.base, Err: err}
	}
	if body != nil {
		req.Header.Set("Content-Type", jsonContentType)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return &UnreachableError{Addr: c.base, Err: err}
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return &UnreachableError{Addr: c.base, Err: err}
	}
	if resp.StatusCode >= http.StatusBadRequest {
		return responseError(resp.StatusCode, data)
	}
	if out == nil {
		return nil
	}
	if err := json.Unmarshal(data, out); err != nil {
		return &UnreachableError{Addr: c.base, Err: err}
	}
	return nil
}

// responseError returns the *ResponseError for a response with an error status.
func responseError(status int, data []byte) error {
	var body ErrorBody
	// If the body is not an ErrorBody, for example from a proxy, only the status is reported.
	if err := json.Unmarshal(data, &body); err != nil {
		return &ResponseError{Status: status}
	}
	return &ResponseError{Status: status, Detail: body.Error}
}
