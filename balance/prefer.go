package balance

import (
	"cmp"

	"github.com/cespare/xxhash/v2"
)

// Load pattern: many instances choose a back end at the same moment, and none sees the others' requests. Where all other reasons
// are equal and all decide by the same order, they all choose the same back end, while the others idle.
//
// Each chooser ranks the back ends in an order of its own (rendezvous hashing). The order needs no message and changes only
// for the back ends that come or go.

// Rank returns the rank of a back end in the order of preference of a chooser; the lowest is preferred.
func Rank(chooser, backend string) uint64 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(chooser) // a hash never fails to write
	_, _ = d.WriteString("\x00")
	_, _ = d.WriteString(backend)
	return d.Sum64()
}

// Compare orders two back ends by a chooser's preference: it returns a negative number if a is preferred to b. Without the name of
// a chooser the order is that of the ids.
func Compare(chooser, a, b string) int {
	if chooser == "" {
		return cmp.Compare(a, b)
	}
	return cmp.Or(cmp.Compare(Rank(chooser, a), Rank(chooser, b)), cmp.Compare(a, b))
}

// Prefers reports whether a chooser prefers back end a to b.
func Prefers(chooser, a, b string) bool { return Compare(chooser, a, b) < 0 }
