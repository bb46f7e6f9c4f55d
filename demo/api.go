package demo

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/operator"
	"github.com/cicadasill/cicadasill/release"
)

// apiTimeout bounds one request of an operator or of the balancer.
const apiTimeout = 2 * time.Second

// api is a client of the instances' operator interface over the demonstration's network.
type api struct{ client *http.Client }

func newAPI(dial func(ctx context.Context, network, addr string) (net.Conn, error)) *api {
	return &api{client: &http.Client{
		Timeout:   apiTimeout,
		Transport: &http.Transport{DialContext: dial, MaxIdleConnsPerHost: 4, IdleConnTimeout: 5 * time.Second},
	}}
}

func (a *api) close() { a.client.CloseIdleConnections() }

// apiError is a response with a status of 300 or above.
type apiError struct {
	Status int
	Detail operator.ErrorDetail
	Body   string
}

// Error implements error.
func (e *apiError) Error() string { return fmt.Sprintf("status %d: %s", e.Status, e.Body) }

// do sends a request with in as its JSON body and decodes the response into out. Either may be nil.
func (a *api) do(ctx context.Context, method, addr, path string, in, out any) error {
	var body io.Reader
	if in != nil {
		data, err := json.Marshal(in)
		if err != nil {
			return err
		}
		body = bytes.NewReader(data)
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+addr+path, body)
	if err != nil {
		return err
	}
	req.Header.Set("Content-Type", "application/json")
	resp, err := a.client.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode >= http.StatusMultipleChoices {
		var wrapped operator.ErrorBody
		_ = json.Unmarshal(data, &wrapped)
		return &apiError{Status: resp.StatusCode, Detail: wrapped.Error, Body: string(data)}
	}
	if out == nil {
		return nil
	}
	return json.Unmarshal(data, out)
}

func (a *api) ready(ctx context.Context, admin string) bool {
	return a.do(ctx, http.MethodGet, admin, "/readyz", nil, nil) == nil
}

func (a *api) status(ctx context.Context, admin string) (operator.Status, error) {
	var out operator.Status
	err := a.do(ctx, http.MethodGet, admin, "/v1/status", nil, &out)
	return out, err
}

func (a *api) services(ctx context.Context, admin string) ([]contract.Service, error) {
	var out []contract.Service
	err := a.do(ctx, http.MethodGet, admin, "/v1/services", nil, &out)
	return out, err
}

// publish returns the verdict on a note, also on a refused one. After an error it is unknown
// whether the note was published.
func (a *api) publish(ctx context.Context, admin string, note *release.Note) (release.Verdict, error) {
	var out release.Verdict
	err := a.do(ctx, http.MethodPost, admin, "/v1/notes", note, &out)
	if refused, ok := err.(*apiError); ok && refused.Detail.Verdict != nil {
		return *refused.Detail.Verdict, nil
	}
	return out, err
}

// announce announces a version of the trainer's weights at the HTTP address of an instance.
func (a *api) announce(ctx context.Context, addr, service, trainer string, version int64) error {
	body := map[string]any{"version": version, "trainer": trainer}
	return a.do(ctx, http.MethodPost, addr, "/v1/services/"+service+"/versions", body, nil)
}
