package httpplatform

import (
	"context"
	"encoding/json"
	"net/http"
	"slices"
	"sync"

	"github.com/cicadasill/cicadasill/standalone/platform"
)

// InstanceList is the client of the instance list. It implements platform.InstanceList. It
// sends the ETag of the last answer, so that an unchanged list is not transferred again.
type InstanceList struct {
	*client
	addr string

	mu   sync.Mutex
	etag string
	last []platform.Listed
}

var _ platform.InstanceList = (*InstanceList)(nil)

// NewInstanceList returns a client of the instance list at addr, given as host:port or
// http://host:port.
func NewInstanceList(addr string, opts Options) *InstanceList {
	return &InstanceList{client: newClient(opts), addr: hostPort(addr)}
}

// List implements platform.InstanceList.
func (l *InstanceList) List(ctx context.Context) ([]platform.Listed, error) {
	l.mu.Lock()
	in := call{op: "instance list", method: http.MethodGet, addr: l.addr, path: "/v1/instances", etag: l.etag}
	l.mu.Unlock()
	x, err := l.do(ctx, in)
	if err != nil {
		return nil, err
	}
	status, header := x.resp.StatusCode, x.resp.Header
	if status == http.StatusNotModified && in.etag != "" {
		x.close()
		return l.cached(in.etag)
	}
	data, err := x.readAll(l.opts.MaxAnswerBytes)
	if err != nil {
		return nil, err
	}
	if status != http.StatusOK {
		return nil, errorFromResponse(in.op, status, header, data)
	}
	var out []platform.Listed
	if err := json.Unmarshal(data, &out); err != nil {
		return nil, newError(platform.BadAnswer, in.op, err)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.etag, l.last = header.Get("ETag"), out
	return slices.Clone(out), nil
}

// cached returns the last answer if it still has this ETag; a concurrent List may have
// replaced it.
func (l *InstanceList) cached(etag string) ([]platform.Listed, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.etag != etag {
		return nil, newError(platform.BadAnswer, "instance list", &EchoError{Want: l.etag, Got: etag})
	}
	return slices.Clone(l.last), nil
}
