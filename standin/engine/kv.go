package engine

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/julienschmidt/httprouter"

	"github.com/cicadasill/cicadasill/standalone/httpplatform"
	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/standin"
	"github.com/cicadasill/cicadasill/standin/serve"
)

// kvImportTimeout bounds a KV import. After it the engine computes the KV cache itself.
const kvImportTimeout = time.Second

// headerZone is the request header with the zone of the engine that fetches weights or KV.
const headerZone = "Cicadasill-Zone"

// headerKV is the answer header with the KVInfo of an exported KV cache. The body has its bytes.
const headerKV = "Cicadasill-Kv"

// KVInfo describes the KV cache of one sequence.
type KVInfo struct {
	RequestID string `json:"request_id"`
	Version   int64  `json:"version"`
	Prompt    string `json:"prompt_hash"`
	Tokens    int    `json:"tokens"`
}

// kvStore holds the KV caches of the most recently ended sequences.
type kvStore struct {
	limit int
	order []string
	byID  map[string]KVInfo
}

func newKVStore(limit int) *kvStore { return &kvStore{limit: limit, byID: map[string]KVInfo{}} }

func (k *kvStore) add(q *sequence) {
	info, ok := q.kvInfo()
	if !ok {
		return
	}
	k.byID[info.RequestID] = info
	k.order = append(k.order, info.RequestID)
	if len(k.order) > k.limit {
		delete(k.byID, k.order[0])
		k.order = k.order[1:]
	}
}

// kvInfo returns the description of q's KV cache, or false if it cannot be exported because it
// is incomplete or was computed by more than one weight version.
func (q *sequence) kvInfo() (KVInfo, bool) {
	if !q.prefilled || q.mixedKV {
		return KVInfo{}, false
	}
	return KVInfo{
		RequestID: q.req.RequestID, Version: q.kvVersion, Prompt: standin.BodyHash([]byte(q.req.Prompt)),
		Tokens: standin.PromptTokens(q.req.Prompt) + q.produced,
	}, true
}

func (s *Server) handleKV(w http.ResponseWriter, r *http.Request, params httprouter.Params) {
	id := params.ByName("request")
	s.mu.Lock()
	info, ok := s.kv.byID[id]
	if q := s.byID[id]; q != nil {
		info, ok = q.kvInfo()
	}
	s.mu.Unlock()
	if !ok {
		serve.Refuse(w, http.StatusNotFound, platform.Refused, "no KV cache of this request can be exported", false)
		return
	}
	head, _ := json.Marshal(info)
	w.Header().Set(headerKV, string(head))
	n := int64(info.Tokens) * int64(s.opts.KVBytesPerToken)
	w.Header().Set("Content-Length", strconv.FormatInt(n, 10))
	s.transfers.add("kv", r.Header.Get(headerZone), s.opts.Zone.String(), n)
	_, _ = io.CopyN(w, fillerReader{}, n)
}

// importKV fetches the KV cache that req names and returns its weight version, or 0 if the KV
// cache cannot be used.
func (s *Server) importKV(ctx context.Context, req platform.GenerateRequest) int64 {
	if req.KVFrom == "" || req.KVRequest == "" {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, kvImportTimeout)
	defer cancel()
	resp, err := s.get(ctx, "http://"+req.KVFrom+"/v1/kv/"+req.KVRequest)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var info KVInfo
	if resp.StatusCode != http.StatusOK || json.Unmarshal([]byte(resp.Header.Get(headerKV)), &info) != nil {
		return 0
	}
	if n, err := io.Copy(io.Discard, resp.Body); err != nil || n != resp.ContentLength {
		return 0
	}
	if info.Prompt != standin.BodyHash([]byte(req.Prompt)) || info.Version != s.Version() {
		return 0
	}
	return info.Version
}

func (s *Server) get(ctx context.Context, url string) (*http.Response, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return nil, err
	}
	req.Header.Set(headerZone, s.opts.Zone.String())
	req.Header.Set(httpplatform.HeaderRequestID, s.opts.ID)
	return s.client.Do(req)
}

// fillerReader is an endless source of bytes whose values do not matter.
type fillerReader struct{}

// Read implements io.Reader.
func (fillerReader) Read(b []byte) (int, error) { return len(b), nil }

// TransferKey identifies the transfers of one kind ("weights" or "kv") from one zone to another.
type TransferKey struct{ Kind, To, From string }

// transfers counts the bytes sent to other engines.
type transfers struct {
	mu    sync.Mutex
	bytes map[TransferKey]int64
}

func (t *transfers) add(kind, to, from string, n int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bytes[TransferKey{Kind: kind, To: to, From: from}] += n
}

// Transfers returns the number of bytes that this engine sent to other engines.
func (s *Server) Transfers() map[TransferKey]int64 {
	s.transfers.mu.Lock()
	defer s.transfers.mu.Unlock()
	out := map[TransferKey]int64{}
	for k, n := range s.transfers.bytes {
		out[k] = n
	}
	return out
}
