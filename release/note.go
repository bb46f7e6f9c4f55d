// Package release holds release notes, the changes that operators make to the contracts of
// services, and the catalog that results from applying them in log order.
package release

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/jsonc"
)

// Note is one release note. ID makes its publication idempotent. Base is the catalog revision
// that its author saw.
type Note struct {
	ID        string             `json:"id" validate:"required,max=128,printascii"`
	Author    string             `json:"author" validate:"required,max=128"`
	Base      int64              `json:"base" validate:"gte=0"`
	Added     []contract.Service `json:"added,omitempty" validate:"max=256,dive"`
	Changed   []contract.Service `json:"changed,omitempty" validate:"max=256,dive"`
	Withdrawn []string           `json:"withdrawn,omitempty" validate:"max=256,dive,required,hostname_rfc1123,max=63"`
	Comment   string             `json:"comment,omitempty" validate:"max=4096"`
}

// FieldErrors lists every mistake of a note with its line and field.
type FieldErrors = jsonc.Errors

// ParseNote decodes a note from JSON with comments. Unknown fields are mistakes. The error is
// a *FieldErrors that lists every mistake.
func ParseNote(name string, data []byte) (*Note, error) {
	var n Note
	doc, err := jsonc.DecodeDocument(name, data, &n)
	if err != nil {
		return nil, err
	}
	for _, p := range n.check() {
		doc.Add(p.field, "%s", p.message)
	}
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return &n, nil
}

// Validate reports the mistakes of a note that was not parsed from a document; they have no
// line.
func (n *Note) Validate() error {
	mistakes := jsonc.Validate(n)
	for _, p := range n.check() {
		mistakes = append(mistakes, jsonc.Mistake{Field: p.field, Message: p.message})
	}
	if len(mistakes) == 0 {
		return nil
	}
	return &FieldErrors{Mistakes: mistakes}
}

// Hash identifies the content of a note, so that a second note under the same id is noticed.
func (n *Note) Hash() uint64 {
	data, err := json.Marshal(n)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}

// touched lists the names in a note in the order in which the catalog applies them.
func (n *Note) touched() []string {
	names := make([]string, 0, len(n.Added)+len(n.Changed)+len(n.Withdrawn))
	for i := range n.Added {
		names = append(names, n.Added[i].Name)
	}
	for i := range n.Changed {
		names = append(names, n.Changed[i].Name)
	}
	return append(names, n.Withdrawn...)
}
