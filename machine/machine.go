// Package machine defines the identity, addresses and location of the machines of a deployment:
// entry instances and back ends.
package machine

import (
	"fmt"

	"github.com/cicadasill/cicadasill/zone"
)

// Instance identifies one run of an entry instance. A replacement process at the same address has
// a higher incarnation and is a different instance.
type Instance struct {
	ID          string    `json:"id"`
	Incarnation uint64    `json:"incarnation"`
	PeerAddr    string    `json:"peer_addr"`
	HTTPAddr    string    `json:"http_addr"`
	Zone        zone.Zone `json:"zone"`
}

// Ref is the identity of an instance without its addresses.
type Ref struct {
	ID          string `json:"id"`
	Incarnation uint64 `json:"incarnation"`
}

// Ref returns the identity of i.
func (i Instance) Ref() Ref { return Ref{ID: i.ID, Incarnation: i.Incarnation} }

// String returns "id#incarnation".
func (r Ref) String() string { return fmt.Sprintf("%s#%d", r.ID, r.Incarnation) }

// Kind is the kind of a back end.
type Kind string

// Kinds of back ends.
const (
	// Sampler is a model engine that generates text and swaps weights.
	Sampler Kind = "sampler"
	// Plain is any other server.
	Plain Kind = "plain"
)

// Backend is a server to which requests are routed.
type Backend struct {
	ID      string    `json:"id" validate:"required,hostname_rfc1123"`
	Kind    Kind      `json:"kind" validate:"required,oneof=sampler plain"`
	Service string    `json:"service" validate:"required,hostname_rfc1123"`
	Addr    string    `json:"addr" validate:"required,hostname_port"`
	Zone    zone.Zone `json:"zone" validate:"required"`
}
