package gateway

import "github.com/cespare/xxhash/v2"

// rendezvous returns the candidate with the highest hash of key and its id (rendezvous
// hashing). When candidates are added or removed, the result changes for few keys.
func rendezvous[T any](key string, candidates []T, id func(T) string) (best T) {
	var highest uint64
	for i, e := range candidates {
		d := xxhash.New()
		_, _ = d.WriteString(key)
		_, _ = d.WriteString("\x00")
		_, _ = d.WriteString(id(e))
		if h := d.Sum64(); i == 0 || h > highest {
			best, highest = e, h
		}
	}
	return best
}
