// Package platform declares the interfaces through which the standalone mode (cicadasilld
// without the hosted command) uses its hosting platform: the append-only log, the instance
// list, model engines and plain services, and the orders by which engines load weights from
// the weight store. Package httpplatform implements each interface over HTTP.
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

// Page is the result of a read from a stream.
type Page struct {
	// Records have contiguous offsets that start at the requested one.
	Records []Record `json:"records"`
	// First is the lowest retained offset of the stream.
	First int64 `json:"first"`
	// Next is the offset of the next record to be appended.
	Next int64 `json:"next"`
}

// Log is the platform's append-only log. Offsets of a stream are contiguous from 0.
// Errors are *Error; HadNoEffect tells which of them leave the outcome unknown.
type Log interface {
	// Append adds one record and returns its offset after the log has stored it.
	Append(ctx context.Context, stream string, data []byte) (int64, error)
	// Read returns up to max records, starting at offset from. If there is none yet, it waits
	// up to wait for one to be appended.
	Read(ctx context.Context, stream string, from int64, max int, wait time.Duration) (Page, error)
}

// ListState is the state of an entry in the instance list.
type ListState string

// States of an entry in the instance list.
const (
	// Live means that the process accepts work.
	Live ListState = "live"
	// Leaving means that the process accepts no new work.
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

// InstanceList is the platform's list of entry instances and back ends. It is eventually
// consistent: changes appear with a delay.
type InstanceList interface {
	// List returns all entries.
	List(ctx context.Context) ([]Listed, error)
}

// GenerateRequest asks an engine for tokens.
type GenerateRequest struct {
	RequestID string `json:"request_id"`
	Prompt    string `json:"prompt"`
	PrefixID  string `json:"prefix_id,omitempty"`
	MaxTokens int    `json:"max_tokens"`
	// Seed selects the continuation: the same prompt, seed and weight version always give the
	// same tokens.
	Seed int64 `json:"seed"`
	// Priority orders requests; those with a higher value run first.
	Priority int `json:"priority"`
	// ResumeTokens are the tokens that another engine has already generated.
	ResumeTokens []int64 `json:"resume_tokens,omitempty"`
	// KVFrom is the address of an engine from which to import the KV cache of KVRequest.
	KVFrom    string `json:"kv_from,omitempty"`
	KVRequest string `json:"kv_request,omitempty"`
}

// GenerateEvent is one line of the NDJSON stream with which an engine answers a GenerateRequest.
type GenerateEvent struct {
	// RequestID repeats the id of the request.
	RequestID string `json:"request_id"`
	// Index is the position of the first element of Tokens in the whole sequence.
	Index  int     `json:"index"`
	Tokens []int64 `json:"tokens,omitempty"`
	// Version is the weight version that produced Tokens.
	Version int64 `json:"version"`
	// KVVersion is the weight version that computed the prompt's KV cache. Only the first event has it.
	KVVersion int64 `json:"kv_version,omitempty"`
	// CachedPrompt reports that the prompt's prefix was in the cache. Only the first event has it.
	CachedPrompt bool `json:"cached_prompt,omitempty"`
	// Done marks the last event, in which Total is the number of tokens of the whole sequence.
	Done  bool `json:"done,omitempty"`
	Total int  `json:"total,omitempty"`
}

// LoadReport is the load that an engine measured at MeasuredAt, which may be some time ago.
type LoadReport struct {
	Running    int       `json:"running"`
	Queued     int       `json:"queued"`
	TokensPerS float64   `json:"tokens_per_s"`
	MeasuredAt time.Time `json:"measured_at"`
	// Version is the active weight version. Held are all versions whose weights the engine can
	// send to other engines.
	Version int64   `json:"version"`
	Held    []int64 `json:"held"`
	// Leaving reports that the engine accepts no new work.
	Leaving bool   `json:"leaving"`
	Role    string `json:"role"`
}

// CacheEvent reports that a prefix was added to an engine's prefix cache or removed from it.
// Events can be lost, which shows as a gap in Seq.
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
	// LoadAdapter loads the adapter named by Order.Adapter.
	LoadAdapter OrderKind = "load_adapter"
	// SetRole changes the role that the engine reports.
	SetRole OrderKind = "set_role"
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
	// Fence is the fencing token of the lease under whose protection the order is sent.
	Fence int64 `json:"fence"`
	// Deadline is the time after which the engine must not start the order any more.
	Deadline time.Time `json:"deadline"`
}

// GenerateStream reads the events of one generation.
type GenerateStream interface {
	// Next returns the next event, or io.EOF after the event with Done set.
	Next() (GenerateEvent, error)
	// Close releases the stream and cancels the generation if it has not finished.
	Close() error
}

// Engine is a client of the model engines. Each method calls the engine at addr (host:port).
type Engine interface {
	// Generate starts a generation and returns the stream of its events.
	Generate(ctx context.Context, addr string, req GenerateRequest) (GenerateStream, error)
	// Cancel stops the generation with this request id.
	Cancel(ctx context.Context, addr, requestID string) error
	// Load returns the engine's latest load report.
	Load(ctx context.Context, addr string) (LoadReport, error)
	// CacheEvents returns the retained cache events with a Seq greater than after.
	CacheEvents(ctx context.Context, addr string, after int64) ([]CacheEvent, error)
	// Order sends an order and returns after the engine has executed or refused it.
	Order(ctx context.Context, addr string, order Order) error
}

// PlainRequest is one call to a plain service.
type PlainRequest struct {
	RequestID string
	Call      string
	// Key is the idempotency key. It is empty for idempotent calls without one.
	Key         string
	ContentType string
	Body        []byte
	// FreshConnection makes the client open a new connection instead of reusing an idle one.
	FreshConnection bool
}

// PlainResponse is the complete answer of a plain service.
type PlainResponse struct {
	Status      int
	ContentType string
	Body        []byte
}

// KeyStatus is what a plain service knows about the request with an idempotency key. Response
// is valid if Ran is set.
type KeyStatus struct {
	Ran      bool          `json:"ran"`
	Running  bool          `json:"running"`
	Response PlainResponse `json:"response"`
}

// PlainService is a client of plain services. Each method calls the back end at addr (host:port).
type PlainService interface {
	// Do sends a request and returns the complete answer.
	Do(ctx context.Context, addr string, req PlainRequest) (PlainResponse, error)
	// AskByKey reports whether the request with an idempotency key has run. Only services whose
	// contract includes ask_by_key answer it.
	AskByKey(ctx context.Context, addr, key string) (KeyStatus, error)
	// Health reports whether the back end is leaving. It returns an error if the back end is not live.
	Health(ctx context.Context, addr string) (leaving bool, err error)
}
