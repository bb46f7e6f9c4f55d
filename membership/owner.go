package membership

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/cicadasill/cicadasill/machine"
)

// Owner returns the instance in live to which rendezvous hashing assigns key, or the zero
// Instance if live is empty. The result depends on instance ids only, so a new run of an instance
// owns the same keys as the run it replaces.
func Owner(key string, live []machine.Instance) machine.Instance {
	var best machine.Instance
	var bestScore uint64
	var buf [16]byte
	binary.LittleEndian.PutUint64(buf[:8], xxhash.Sum64String(key))
	for i, inst := range live {
		binary.LittleEndian.PutUint64(buf[8:], xxhash.Sum64String(inst.ID))
		score := xxhash.Sum64(buf[:])
		if i == 0 || score > bestScore || (score == bestScore && inst.ID < best.ID) {
			best, bestScore = inst, score
		}
	}
	return best
}
