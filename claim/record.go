package claim

import (
	"encoding/json"
	"time"

	"github.com/cicadasill/cicadasill/machine"
)

// recordKind is the kind of the records of a claim stream.
const recordKind = "claims"

// Ends of a claim.
const (
	endRan      = "ran"
	endReleased = "released"
)

// batch is one record: what one instance committed together. Ends take effect before claims.
type batch struct {
	Kind        string        `json:"kind"`
	ID          string        `json:"id"`
	Incarnation uint64        `json:"inc"`
	Ends        []endRecord   `json:"ends,omitempty"`
	Claims      []claimRecord `json:"claims,omitempty"`
	// LongestMs is the longest lifetime in milliseconds that the writer has seen in the stream.
	// It tells an instance that starts how far back it has to read.
	LongestMs int64 `json:"lx,omitempty"`
}

type claimRecord struct {
	Seq  uint64 `json:"n"`
	Key  hash   `json:"k"`
	Body hash   `json:"b"`
	// LifetimeMs is how long the claim holds the key, in milliseconds of the log's record times.
	LifetimeMs int64 `json:"l"`
	// TimeMs is the claimer's clock in Unix milliseconds. It is for people who read the log.
	TimeMs int64 `json:"t"`
}

type endRecord struct {
	Seq    uint64 `json:"n"`
	Key    hash   `json:"k"`
	Result string `json:"r"`
}

// longest returns the longest lifetime that the batch knows of.
func (b *batch) longest() time.Duration {
	ms := b.LongestMs
	for _, c := range b.Claims {
		ms = max(ms, c.LifetimeMs)
	}
	return time.Duration(ms) * time.Millisecond
}

func (b *batch) claimer() machine.Ref { return machine.Ref{ID: b.ID, Incarnation: b.Incarnation} }

func (b *batch) id(seq uint64) claimID { return claimID{b.claimer(), seq} }

// decode returns nil for a record of another kind.
func decode(data []byte) *batch {
	var b batch
	if json.Unmarshal(data, &b) != nil || b.Kind != recordKind {
		return nil
	}
	return &b
}
