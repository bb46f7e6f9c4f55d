// Package routes selects the route of a request from the operators' configuration.
package routes

import (
	"net"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind tells what may be repeated of a route's requests.
type Kind int

// Kinds of routes.
const (
	// NonIdempotent requests run at most once for each attempt of a client. Unknown kinds are
	// taken for it, because it allows the least.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered with events.
	Streaming
	// BatchJob requests submit many items that run later.
	BatchJob
)

// String returns the name used in logs.
func (k Kind) String() string {
	switch k {
	case Idempotent:
		return "idempotent"
	case Streaming:
		return "streaming"
	case BatchJob:
		return "batch_job"
	default:
		return "non_idempotent"
	}
}

// Share is a service with its part of a route's requests.
type Share struct {
	Service string
	Weight  int
}

// Route tells where the requests of a host and path prefix go.
type Route struct {
	Name   string
	Host   string
	Prefix string
	Kind   Kind
	Shares []Share
	// Timeout is the longest time that a request may be kept waiting.
	Timeout time.Duration
	// Objective is the time within which an answer is useful in full.
	Objective time.Duration
	// Priority is 0 for the most urgent requests.
	Priority int
	// Attempts bounds the back ends to which one attempt of a client is sent, and the failures of an item.
	Attempts int
	// Keep is the time after the submission of a batch job at which its items may be given up.
	Keep time.Duration
	// RunObjective is the time after the submission at which all results are due.
	RunObjective time.Duration
	// SingleVersion requires that one version of the weights generates all of an item's text.
	SingleVersion bool
	// Resumable streams go on at another back end after the last event received.
	Resumable bool
}

// ServiceFor returns the route's service for a request. Equal ids get equal services.
func (r *Route) ServiceFor(id string) string {
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total <= 0 {
		if len(r.Shares) == 0 {
			return ""
		}
		return r.Shares[0].Service
	}
	n := int(xxhash.Sum64String(id) % uint64(total))
	for _, s := range r.Shares {
		if n < s.Weight {
			return s.Service
		}
		n -= s.Weight
	}
	return r.Shares[len(r.Shares)-1].Service
}

// Service is a group of equal back ends.
type Service struct {
	Name string
	// MaxConns is the number of connections that each back end accepts from all callers.
	MaxConns int
	// Slots is the number of requests that an engine batches; 0 for services without engines.
	Slots int
	// Models are the names of the models that the engines run.
	Models []string
}

// ClientLimits bound what a client may send and how long it may take.
type ClientLimits struct {
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Config is one version of the operators' configuration. It is not changed after it was built.
type Config struct {
	Version  int64
	Services map[string]Service
	Limits   ClientLimits
	Routes   []Route

	byHost map[string][]*Route // longest prefix first
}

// Build prepares c for Match.
func (c *Config) Build() {
	c.byHost = map[string][]*Route{}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		c.byHost[host] = append(c.byHost[host], r)
	}
	for _, list := range c.byHost {
		slices.SortFunc(list, func(a, b *Route) int { return len(b.Prefix) - len(a.Prefix) })
	}
}

// Match returns the route with the longest prefix of path among those of the host.
func (c *Config) Match(host, path string) (*Route, bool) {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	for _, r := range c.byHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.Prefix) {
			return r, true
		}
	}
	return nil, false
}

// HasHost reports whether any route has the host.
func (c *Config) HasHost(host string) bool {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return len(c.byHost[strings.ToLower(host)]) > 0
}

// SingleVersionService reports whether a batch job route of the service wants text of one version.
func (c *Config) SingleVersionService(service string) bool {
	for i := range c.Routes {
		r := &c.Routes[i]
		if r.Kind != BatchJob || !r.SingleVersion {
			continue
		}
		if slices.ContainsFunc(r.Shares, func(s Share) bool { return s.Service == service }) {
			return true
		}
	}
	return false
}
