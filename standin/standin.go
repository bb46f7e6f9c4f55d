// Package standin holds what the platform's stand-ins share: the truth about tokens and
// answers, by which a receiver checks what it got without asking the system.
//
// The subpackages are small HTTP servers and clients with a Go API for faults and for truth.
// They keep real time and talk over real loopback connections.
package standin

import (
	"encoding/binary"
	"encoding/hex"

	"github.com/cespare/xxhash/v2"
)

// TokensPerVersion separates the token ranges of two weight versions.
const TokensPerVersion = 1_000_000

// Token returns token index of the continuation of prompt and seed by weight version.
func Token(prompt string, seed int64, index int, version int64) int64 {
	return version*TokensPerVersion + int64(tokenHash(prompt, seed, index)%TokensPerVersion)
}

// VersionOf returns the version that produced token.
func VersionOf(token int64) int64 { return token / TokensPerVersion }

// IsToken reports whether token is at index of the continuation of prompt and seed, by
// whatever version.
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

// BodyHash is the hash of a request body that a plain stand-in's answer holds.
func BodyHash(body []byte) string {
	var b [8]byte
	binary.BigEndian.PutUint64(b[:], xxhash.Sum64(body))
	return hex.EncodeToString(b[:])
}

// PromptTokens is the number of tokens of a prompt: one for every four bytes.
func PromptTokens(prompt string) int { return len(prompt)/4 + 1 }
