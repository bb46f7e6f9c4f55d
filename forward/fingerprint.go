package forward

import (
	"crypto/sha256"
	"encoding/binary"
	"encoding/hex"
)

// Fingerprint identifies requests that are the same to a back end: those of one caller with the same host, method, path,
// query and body. Each attempt of a client has an id of its own, so that the id is no part of it.
type Fingerprint [16]byte

// FingerprintOf returns the fingerprint of a request.
func FingerprintOf(r *Request) Fingerprint {
	h := sha256.New()
	for _, part := range [][]byte{[]byte(r.Caller), []byte(r.Host), []byte(r.Method), []byte(r.Target), r.Body} {
		var length [8]byte
		binary.BigEndian.PutUint64(length[:], uint64(len(part)))
		h.Write(length[:]) // separates the parts
		h.Write(part)
	}
	return Fingerprint(h.Sum(nil)[:16])
}

// String returns the fingerprint in hexadecimal.
func (f Fingerprint) String() string { return hex.EncodeToString(f[:]) }
