// Package operator defines the messages of the operator API, which every instance serves at its admin
// address, and a client for it.
package operator

import (
	"github.com/cicadasill/cicadasill/jsonc"
	"github.com/cicadasill/cicadasill/release"
)

// Status describes one instance.
type Status struct {
	ID              string   `json:"id"`
	Incarnation     uint64   `json:"incarnation"`
	Region          string   `json:"region"`
	DataCentre      string   `json:"data_centre"`
	HTTPAddr        string   `json:"http_addr"`
	AdminAddr       string   `json:"admin_addr"`
	Ready           bool     `json:"ready"`
	Draining        bool     `json:"draining"`
	WaitingFor      string   `json:"waiting_for,omitempty"`
	ControlOffset   int64    `json:"control_offset"`
	ControlChain    string   `json:"control_chain"`
	CatalogRevision int64    `json:"catalog_revision"`
	LogReachable    bool     `json:"log_reachable"`
	StartedUnixMs   int64    `json:"started_unix_ms"`
	InFlight        int64    `json:"in_flight"`
	LivePeers       []string `json:"live_peers,omitempty"`
	// Unreachable is the error of the peer link if the status could not be requested from the
	// instance.
	Unreachable string `json:"unreachable,omitempty"`
}

// Readiness is the response body of /readyz.
type Readiness struct {
	Ready      bool   `json:"ready"`
	WaitingFor string `json:"waiting_for,omitempty"`
}

// Backend describes a back end as one instance sees it.
type Backend struct {
	ID         string  `json:"id"`
	Kind       string  `json:"kind"`
	Addr       string  `json:"addr"`
	Zone       string  `json:"zone"`
	Ready      bool    `json:"ready"`
	Version    int64   `json:"version,omitempty"`
	Running    int     `json:"running"`
	Queued     int     `json:"queued"`
	TokensPerS float64 `json:"tokens_per_s,omitempty"`
}

// NoteRecord is the verdict on a note that an instance has applied.
type NoteRecord struct {
	ID      string          `json:"id"`
	Verdict release.Verdict `json:"verdict"`
}

// InForce reports which instances have applied a note.
type InForce struct {
	ID      string          `json:"id"`
	Verdict release.Verdict `json:"verdict"`
	// Everywhere is true if the note was accepted and all Instances have applied it.
	Everywhere bool        `json:"everywhere"`
	Instances  []InForceAt `json:"instances"`
}

// InForceAt reports whether one instance has applied a note.
type InForceAt struct {
	ID              string `json:"id"`
	InForce         bool   `json:"in_force"`
	CatalogRevision int64  `json:"catalog_revision"`
	// Unreachable is the error of the peer link if the instance could not be asked.
	Unreachable string `json:"unreachable,omitempty"`
}

// ErrorBody is the response body of a failed request.
type ErrorBody struct {
	Error ErrorDetail `json:"error"`
}

// ErrorDetail describes why a request failed.
type ErrorDetail struct {
	Code    string          `json:"code"`
	Message string          `json:"message"`
	Fields  []jsonc.Mistake `json:"fields,omitempty"`
	// Verdict is set when a note was refused.
	Verdict *release.Verdict `json:"verdict,omitempty"`
}
