// Package standin computes the correct tokens and hashes of a request, with which a receiver
// verifies an answer without asking the system under test. All stand-ins share it.
//
// The subpackages are small HTTP servers and clients that replace the platform in tests and in
// the demonstration. Each has a Go API that injects faults and records what it executed. They
// run in real time over loopback connections.
package standin

import (
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

// TokensPerVersion is the size of a weight version's token range. Version v generates tokens
// from v*TokensPerVersion up to, but not including, (v+1)*TokensPerVersion.
const TokensPerVersion = 1_000_000

// Token returns the token at index that a weight version generates for prompt and seed.
func Token(prompt string, seed int64, index int, version int64) int64 {
	return version*TokensPerVersion + int64(tokenHash(prompt, seed, index)%TokensPerVersion)
}

// VersionOf returns the weight version that generated token.
func VersionOf(token int64) int64 { return token / TokensPerVersion }

// IsToken reports whether any weight version generates token at index for prompt and seed.
func IsToken(token int64, prompt string, seed int64, index int) bool {
	return uint64(token%TokensPerVersion) == tokenHash(prompt, seed, index)%TokensPerVersion
}

func tokenHash(prompt string, seed int64, index int) uint64 {
	var b [16]byte
	binary.LittleEndian.PutUint64(b[:8], uint64(seed))
	binary.LittleEndian.PutUint64(b[8:], uint64(index))
	d := xxhash.New()
	_, _ = d.WriteString(prompt)
	_, _ = d.Write(b[:])
	return d.Sum64()
}

// BodyHash returns the hash of a request body, as a plain stand-in puts it into its answer.
func BodyHash(body []byte) string {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], xxhash.Sum64(body))
	return hex.EncodeToString(b[:])
}

// PromptTokens returns the number of tokens of a prompt: one per four bytes, plus one.
func PromptTokens(prompt string) int { return len(prompt)/4 + 1 }
