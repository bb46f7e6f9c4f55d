// Package release defines release notes, with which operators add, change and withdraw the contracts
// of services, and the catalog of services that results from applying the notes in log order. The
// verdict on a note depends only on the note, its log offset and the notes applied before it, so all
// instances accept and refuse the same notes.
package release

import (
	"encoding/json"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/jsonc"
)

// Note is a release note. ID makes its publication idempotent. Base is the catalog revision that
// the author saw; the note is refused if one of its services has changed since.
type Note struct {
	ID        string             `json:"id" validate:"required,max=128,printascii"`
	Author    string             `json:"author" validate:"required,max=128"`
	Base      int64              `json:"base" validate:"gte=0"`
	Added     []contract.Service `json:"added,omitempty" validate:"max=256,dive"`
	Changed   []contract.Service `json:"changed,omitempty" validate:"max=256,dive"`
	Withdrawn []string           `json:"withdrawn,omitempty" validate:"max=256,dive,required,hostname_rfc1123,max=63"`
	Comment   string             `json:"comment,omitempty" validate:"max=4096"`
}

// FieldErrors lists every mistake in a note with its line and field.
type FieldErrors = jsonc.Errors

// ParseNote decodes and validates a note from JSON with comments; the name stands for the file in
// error messages. Unknown fields are mistakes. The error is a *FieldErrors that lists every mistake.
func ParseNote(name string, data []byte) (*Note, error) {
	var n Note
	doc, err := jsonc.DecodeDocument(name, data, &n)
	if err != nil {
		return nil, err
	}
	for _, m := range n.findMistakes() {
		doc.Add(m.field, "%s", m.message)
	}
	if err := doc.Err(); err != nil {
		return nil, err
	}
	return &n, nil
}

// Validate validates a note that was not parsed from a document. The error is a *FieldErrors whose
// mistakes have no file and no line.
func (n *Note) Validate() error {
	mistakes := jsonc.Validate(n)
	for _, m := range n.findMistakes() {
		mistakes = append(mistakes, jsonc.Mistake{Field: m.field, Message: m.message})
	}
	if len(mistakes) == 0 {
		return nil
	}
	return &FieldErrors{Mistakes: mistakes}
}

// Hash returns a hash of the content of a note. It serves to detect a second note with the same id
// and different content.
func (n *Note) Hash() uint64 {
	data, err := json.Marshal(n)
	if err != nil {
		return 0
	}
	return xxhash.Sum64(data)
}

// serviceNames returns the names of the services in a note: first the added, then the changed, then
// the withdrawn ones. The catalog applies and checks them in this order.
func (n *Note) serviceNames() []string {
	names := make([]string, 0, len(n.Added)+len(n.Changed)+len(n.Withdrawn))
	for i := range n.Added {
		names = append(names, n.Added[i].Name)
	}
	for i := range n.Changed {
		names = append(names, n.Changed[i].Name)
	}
	return append(names, n.Withdrawn...)
}
