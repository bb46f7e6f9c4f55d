// Package platform declares what the product's own interface (cicadasilld without the hosted
// command) uses of the platform that hosts it: the append-only log, the instance list, model engines, plain services and the weight store.
// Package httpplatform implements each interface over HTTP.
package platform

import (
	"context"
	"time"

	"github.com/cicadasill/cicadasill/zone"
)

// Record is one record of a log stream.
type Record struct {
	Offset int64     `json:"offset"`
	Time   time.Time `json:"time"`
	Data   []byte    `json:"data"`
}

// Page is the result of a read. Records are contiguous from the requested offset.
type Page struct {
	Records []Record `json:"records"`
	// First is the lowest retained offset of the stream.
	First int64 `json:"first"`
	// Next is the offset that the next append will get.
	Next int64 `json:"next"`
}

// Log is the platform's append-only log. Offsets of a stream are contiguous from 0.
// Errors are *Error; see Code for which of them leave the outcome open.
type Log interface {
	// Append adds one record and returns its offset once the log has stored it.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns up to max records from offset from. It waits up to wait for the first.
	Read(ctx context.Context, stream string, from int64, max int, wait time.Duration) (Page, error)
}

// ListState is the state of an entry in the instance list.
type ListState string

// States of a listed machine.
const (
	Live    ListState = "live"
	Leaving ListState = "leaving"
)

// Listed is one entry of the instance list. Kind is "entry", "sampler" or "plain".
type Listed struct {
	ID       string    `json:"id"`
	Kind     string    `json:"kind"`
	PeerAddr string    `json:"peer_addr,omitempty"`
	HTTPAddr string    `json:"http_addr"`
	Zone     zone.Zone `json:"zone"`
	State    ListState `json:"state"`
}

// InstanceList is the platform's lagging list of machines.
type InstanceList interface {
	List(ctx context.Context) ([]Listed, error)
}

// GenerateRequest asks an engine for tokens.
type GenerateRequest struct {
	RequestID string `json:"request_id"`
	Prompt    string `json:"prompt"`
	PrefixID  string `json:"prefix_id,omitempty"`
	MaxTokens int    `json:"max_tokens"`
	// Seed selects the continuation; equal prompt, seed and version give equal tokens.
	Seed int64 `json:"seed"`
	// Priority is higher for more urgent requests.
	Priority int `json:"priority"`
	// ResumeTokens are the tokens generated so far by another engine.
	ResumeTokens []int64 `json:"resume_tokens,omitempty"`
	// KVFrom is the address of an engine from which to import the KV cache of KVRequest.
	KVFrom    string `json:"kv_from,omitempty"`
	KVRequest string `json:"kv_request,omitempty"`
}

// GenerateEvent is one line of an engine's ndjson answer.
type GenerateEvent struct {
	// RequestID echoes the request.
	RequestID string `json:"request_id"`
	// Index is the position of the first token of Tokens.
	Index  int     `json:"index"`
	Tokens []int64 `json:"tokens,omitempty"`
	// Version is the weight version that produced Tokens.
	Version int64 `json:"version"`
	// KVVersion is the version that computed the prompt's KV cache; set on the first event.
	KVVersion int64 `json:"kv_version,omitempty"`
	// CachedPrompt reports that the prompt's prefix was in the cache; set on the first event.
	CachedPrompt bool `json:"cached_prompt,omitempty"`
	// Done marks the last event; Total is then the number of tokens of the whole sequence.
	Done  bool `json:"done,omitempty"`
	Total int  `json:"total,omitempty"`
}

// LoadReport is an engine's own view of its load; it lags.
type LoadReport struct {
	Running    int       `json:"running"`
	Queued     int       `json:"queued"`
	TokensPerS float64   `json:"tokens_per_s"`
	MeasuredAt time.Time `json:"measured_at"`
	// Version is the active weight version; Held are all versions whose weights it can serve to other engines.
	Version int64   `json:"version"`
	Held    []int64 `json:"held"`
	// Leaving states that the engine accepts no new work.
	Leaving bool   `json:"leaving"`
	Role    string `json:"role"`
}

// CacheEvent reports a prefix added to or removed from an engine's cache. Seq has gaps.
type CacheEvent struct {
	Seq      int64  `json:"seq"`
	PrefixID string `json:"prefix_id"`
	Added    bool   `json:"added"`
}

// OrderKind is the kind of an order to an engine.
type OrderKind string

// Kinds of orders.
const (
	// LoadVersion loads and activates a weight version.
	LoadVersion OrderKind = "load_version"
	LoadAdapter OrderKind = "load_adapter"
	SetRole     OrderKind = "set_role"
)

// Order tells an engine to change its state.
type Order struct {
	ID      string    `json:"id"`
	Kind    OrderKind `json:"kind"`
	Version int64     `json:"version,omitempty"`
	Adapter string    `json:"adapter,omitempty"`
	Role    string    `json:"role,omitempty"`
	// Source is "store" or the HTTP address of an engine that holds the version.
	Source string `json:"source,omitempty"`
	// Fence is the fencing number of the lease under which the order is given.
	Fence int64 `json:"fence"`
	// Deadline is when the engine must drop the order if it has not started it.
	Deadline time.Time `json:"deadline"`
}

// GenerateStream yields the events of one generation. Close cancels it at the engine.
type GenerateStream interface {
	// Next returns io.EOF after the event with Done set.
	Next() (GenerateEvent, error)
	Close() error
}

// Engine is one model engine.
type Engine interface {
	Generate(ctx context.Context, addr string, req GenerateRequest) (GenerateStream, error)
	Cancel(ctx context.Context, addr, requestID string) error
	Load(ctx context.Context, addr string) (LoadReport, error)
	CacheEvents(ctx context.Context, addr string, after int64) ([]CacheEvent, error)
	// Order returns once the engine has carried out the order or refused it.
	Order(ctx context.Context, addr string, order Order) error
}

// PlainRequest is one call of a plain service.
type PlainRequest struct {
	RequestID string
	Call      string
	// Key is the idempotency key; empty for idempotent calls without one.
	Key         string
	ContentType string
	Body        []byte
	// FreshConnection forbids the use of an idle connection.
	FreshConnection bool
}

// PlainResponse is a plain service's whole answer.
type PlainResponse struct {
	Status      int
	ContentType string
	Body        []byte
}

// KeyStatus is a plain service's answer about a key.
type KeyStatus struct {
	Ran      bool          `json:"ran"`
	Running  bool          `json:"running"`
	Response PlainResponse `json:"response"`
}

// PlainService is one plain back end.
type PlainService interface {
	Do(ctx context.Context, addr string, req PlainRequest) (PlainResponse, error)
	// AskByKey reports what became of a key, where the service's contract allows it.
	AskByKey(ctx context.Context, addr, key string) (KeyStatus, error)
	// Health reports whether the service is live and whether it is leaving.
	Health(ctx context.Context, addr string) (leaving bool, err error)
}
