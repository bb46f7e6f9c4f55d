package gateway

import "github.com/cespare/xxhash/v2"

// rendezvous returns the element with the highest hash of key and id. It changes for few
// keys when elements come and go.
func rendezvous[T any](key string, from []T, id func(T) string) (best T) {
	var highest uint64
	for i, e := range from {
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
