package rollout

import (
	"encoding/base64"
	"encoding/binary"
	"time"

	"github.com/cespare/xxhash/v2"
)

// HTTP headers of trainers' requests.
const (
	// ForwardedHeader names the instance that forwarded a request. The receiver serves such a request
	// locally.
	ForwardedHeader = "Cicadasill-Forwarded"
	reasonHeader    = "Cicadasill-Reason"
)

// Limits on one request.
const (
	// maxBodyBytes is below the size limit of messages between instances, so that every body can be
	// forwarded.
	maxBodyBytes = 15 << 20
	// bodyFactor is the memory that a request takes in relation to its body: the buffer of the decoder, the decoded prompts, and a
	// copy that is sent on.
	bodyFactor = 4
	// maxRelayedBytes bounds an owner's response, which is held until it is whole.
	maxRelayedBytes   = 256 << 20
	maxSamplesPerStep = 1 << 16
	maxTokensPerTake  = 1 << 20
	maxTakeWait       = 60 * time.Second
)

// OpenRequest is the body that opens a step.
type OpenRequest struct {
	// Version is the trainer's weight version.
	Version int64   `json:"version"`
	Groups  []Group `json:"groups"`
}

// promptBytes returns the size of the prompts.
func (r *OpenRequest) promptBytes() int64 {
	total := int64(0)
	for i := range r.Groups {
		total += int64(len(r.Groups[i].Prompt))
	}
	return total
}

// hash covers what the request asks for, so that the formatting of its body does not matter.
func (r *OpenRequest) hash() uint64 {
	digest := xxhash.New()
	number := func(n int64) { _, _ = digest.Write(binary.AppendVarint(nil, n)) } // a Digest takes every write
	text := func(s string) {
		number(int64(len(s)))
		_, _ = digest.WriteString(s)
	}
	number(r.Version)
	for _, g := range r.Groups {
		text(g.ID)
		text(g.Prompt)
		text(g.PrefixID)
		number(int64(g.Samples))
		number(int64(g.MaxTokens))
		number(g.Seed)
	}
	return digest.Sum64()
}

// Group is a prompt that is sampled several times. Sample i uses the seed Seed + i.
type Group struct {
	ID        string `json:"id"`
	Prompt    string `json:"prompt"`
	PrefixID  string `json:"prefix_id,omitempty"`
	Samples   int    `json:"samples"`
	MaxTokens int    `json:"max_tokens"`
	Seed      int64  `json:"seed"`
}

// OpenResponse confirms an open step.
type OpenResponse struct {
	Step    int64 `json:"step"`
	Samples int   `json:"samples"`
}

// TakeRequest asks for finished samples.
type TakeRequest struct {
	// Version is the trainer's current weight version, against which the age of samples is measured.
	Version int64 `json:"version"`
	// Have is the base64 bitmap of the samples that the trainer holds, in step order, lowest bit first.
	Have string `json:"have"`
	// WaitMs bounds the wait for the first sample.
	WaitMs int `json:"wait_ms"`
	// Max bounds the number of samples in the response; 0 means no bound.
	Max int `json:"max"`
}

// SampleID identifies a sample.
type SampleID struct {
	Service string `json:"service"`
	Trainer string `json:"trainer"`
	Step    int64  `json:"step"`
	Group   string `json:"group"`
	Index   int    `json:"index"`
}

// Range states that Version generated the tokens from index From up to but excluding To.
type Range struct {
	Version int64 `json:"version"`
	From    int   `json:"from"`
	To      int   `json:"to"`
}

// Sample is one delivered sample.
type Sample struct {
	ID SampleID `json:"id"`
	// Position is the sample's index in step order and in the bitmap.
	Position int     `json:"position"`
	Tokens   []int64 `json:"tokens"`
	Ranges   []Range `json:"ranges"`
	// PromptVersion is the oldest version whose KV cache of the prompt the sample used.
	PromptVersion int64   `json:"prompt_version"`
	Score         float64 `json:"score"`
	// Attempt counts the starts of this sample from its first token.
	Attempt int `json:"attempt"`
}

// TakeResponse holds finished samples that the trainer lacked.
type TakeResponse struct {
	Samples []Sample `json:"samples"`
	// Complete is true if the bitmap and this response together contain every sample of the step.
	Complete bool `json:"complete"`
	// Remaining counts the samples that are in neither the bitmap nor this response.
	Remaining int `json:"remaining"`
}

// Bitmap holds one bit for each sample of a step, lowest bit of the first byte first.
type Bitmap []byte

// NewBitmap returns a bitmap for n samples.
func NewBitmap(n int) Bitmap { return make(Bitmap, (n+7)/8) }

// Get reports whether bit i is set.
func (b Bitmap) Get(i int) bool { return i/8 < len(b) && b[i/8]&(1<<(i%8)) != 0 }

// Set sets bit i.
func (b Bitmap) Set(i int) { b[i/8] |= 1 << (i % 8) }

// Encode returns b in base64.
func (b Bitmap) Encode() string { return base64.StdEncoding.EncodeToString(b) }

// DecodeBitmap decodes a bitmap for n samples. An empty string is an empty bitmap.
func DecodeBitmap(s string, n int) (Bitmap, error) {
	if s == "" {
		return NewBitmap(n), nil
	}
	data, err := base64.StdEncoding.DecodeString(s)
	if err != nil {
		return nil, errorf(CodeBadRequest, "have: %v", err)
	}
	if len(data) != (n+7)/8 {
		return nil, errorf(CodeBadRequest, "have: %d bytes for %d samples, want %d", len(data), n, (n+7)/8)
	}
	return Bitmap(data), nil
}
