package claim

import (
	"encoding/json"
	"time"

	"github.com/cicadasill/cicadasill/machine"
)

// recordKind is the kind of the records of a claim stream.
const recordKind = "claims"

// Results of a claim in its endRecord.
const (
	endRan      = "ran"
	endReleased = "released"
)

// batch is one record of a claim stream: the claims and ends that one instance appends
// together. Ends take effect before claims.
type batch struct {
	Kind        string        `json:"kind"`
	ID          string        `json:"id"`
	Incarnation uint64        `json:"inc"`
	Ends        []endRecord   `json:"ends,omitempty"`
	Claims      []claimRecord `json:"claims,omitempty"`
	// MaxLifetimeMs is the longest claim lifetime, in milliseconds, that the writer has seen
	// in the stream. It tells a starting instance how far back it has to read.
	MaxLifetimeMs int64 `json:"lx,omitempty"`
}

type claimRecord struct {
	Seq  uint64 `json:"n"`
	Key  hash   `json:"k"`
	Body hash   `json:"b"`
	// LifetimeMs is how long the claim holds its key, in milliseconds between record times of
	// the log.
	LifetimeMs int64 `json:"l"`
	// TimeMs is the claimer's clock in Unix milliseconds, for people who read the log; no
	// decision uses it.
	TimeMs int64 `json:"t"`
}

type endRecord struct {
	Seq    uint64 `json:"n"`
	Key    hash   `json:"k"`
	Result string `json:"r"`
}

// maxLifetime returns the longest claim lifetime that the batch contains or states.
func (b *batch) maxLifetime() time.Duration {
	ms := b.MaxLifetimeMs
	for _, c := range b.Claims {
		ms = max(ms, c.LifetimeMs)
	}
	return time.Duration(ms) * time.Millisecond
}

func (b *batch) claimer() machine.Ref { return machine.Ref{ID: b.ID, Incarnation: b.Incarnation} }

func (b *batch) claimID(seq uint64) claimID { return claimID{b.claimer(), seq} }

// decode parses a record. It returns nil for a record of another kind.
func decode(data []byte) *batch {
	var b batch
	if json.Unmarshal(data, &b) != nil || b.Kind != recordKind {
		return nil
	}
	return &b
}
