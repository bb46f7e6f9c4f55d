package httpplatform

import (
	"context"
	"net/http"

	"github.com/cicadasill/cicadasill/standalone/platform"
)

// PlainService is the client of plain services. It implements platform.PlainService.
type PlainService struct{ *client }

var _ platform.PlainService = (*PlainService)(nil)

// NewPlainService returns a client of plain services.
func NewPlainService(opts Options) *PlainService { return &PlainService{client: newClient(opts)} }

// Do implements platform.PlainService. A request with a key is treated as non-idempotent.
func (p *PlainService) Do(ctx context.Context, addr string, req platform.PlainRequest) (platform.PlainResponse, error) {
	in := call{
		op: "plain call", method: http.MethodPost, addr: addr, path: "/v1/calls/" + req.Call,
		contentType: req.ContentType, key: req.Key, requestID: req.RequestID, body: req.Body,
		fresh: req.FreshConnection, nonIdempotent: req.Key != "",
	}
	if in.body == nil {
		in.body = []byte{}
	}
	x, err := p.do(ctx, in)
	if err != nil {
		return platform.PlainResponse{}, err
	}
	status, header := x.resp.StatusCode, x.resp.Header
	data, err := x.readAll(p.opts.MaxAnswerBytes)
	if err != nil {
		return platform.PlainResponse{}, err
	}
	if status == http.StatusServiceUnavailable && header.Get(HeaderNotRun) == "1" {
		return platform.PlainResponse{}, errorFromResponse(in.op, status, header, data)
	}
	return platform.PlainResponse{Status: status, ContentType: header.Get("Content-Type"), Body: data}, nil
}

// AskByKey implements platform.PlainService.
func (p *PlainService) AskByKey(ctx context.Context, addr, key string) (platform.KeyStatus, error) {
	var out platform.KeyStatus
	err := p.json(ctx, call{op: "ask by key", method: http.MethodGet, addr: addr, path: "/v1/keys/" + key}, &out)
	return out, err
}

// Health implements platform.PlainService.
func (p *PlainService) Health(ctx context.Context, addr string) (bool, error) {
	var out struct {
		Leaving bool `json:"leaving"`
	}
	err := p.json(ctx, call{op: "health", method: http.MethodGet, addr: addr, path: "/v1/health"}, &out)
	return out.Leaving, err
}
