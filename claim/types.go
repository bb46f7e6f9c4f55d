package claim

import (
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"strings"
	"time"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/machine"
)

// Streams is the number of claim streams, over which keys are spread by their hash.
const Streams = 16

// Key is the idempotency key of one request. The same ID in another service or call is another
// key.
type Key struct{ Service, Call, ID string }

// hash identifies a key or a body. A collision would replay the answer of another request, so
// it is the first half of a SHA-256 sum.
type hash [16]byte

// hash returns the hash of the key. The length before each part makes different keys hash
// different inputs.
func (k Key) hash() hash {
	h := sha256.New()
	for _, part := range []string{k.Service, k.Call, k.ID} {
		var n [8]byte
		binary.BigEndian.PutUint64(n[:], uint64(len(part)))
		h.Write(n[:])
		h.Write([]byte(part))
	}
	return hash(h.Sum(nil)[:16])
}

func bodyHash(body []byte) hash {
	sum := sha256.Sum256(body)
	return hash(sum[:16])
}

// MarshalText implements encoding.TextMarshaler.
func (h hash) MarshalText() ([]byte, error) {
	return base64.RawURLEncoding.AppendEncode(nil, h[:]), nil
}

// UnmarshalText implements encoding.TextUnmarshaler.
func (h *hash) UnmarshalText(b []byte) error {
	raw, err := base64.RawURLEncoding.DecodeString(string(b))
	if err != nil {
		return err
	}
	if len(raw) != len(h) {
		return errHashLength
	}
	copy(h[:], raw)
	return nil
}

// StreamOf returns the name of the claim stream of key: claims-00 to claims-15.
func StreamOf(key Key) (stream string) { return key.hash().stream() }

func (h hash) stream() string { return streamName(int(h[0]) % Streams) }

// Terms holds what the caller and the contract state about a request.
type Terms struct {
	// RetryWindow is how long after the first attempt the caller may repeat the key; 0 means
	// contract.DefaultRetryWindow.
	RetryWindow time.Duration
	// Attempt is the caller's attempt number; 0 means that it is not stated. Only 1 excludes
	// earlier attempts. It must be 0 for a request that may have reached Begin at another
	// instance, for example after a forward with unknown outcome, because the request may have
	// run there.
	Attempt int
	// AskByKey states that the back end itself runs a key at most once.
	AskByKey bool
}

// lifetime returns how long a claim holds its key.
func (t Terms) lifetime() time.Duration {
	w := t.RetryWindow
	if w <= 0 {
		w = contract.DefaultRetryWindow
	}
	return w + lifetimeMargin
}

// Answer is the complete answer of a run.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Kind is the kind of a Decision.
type Kind string

// Kinds of decisions. Begin returns a refusal as an *Error.
const (
	// Run means that the request may run; Ticket is set.
	Run Kind = "run"
	// Replay means that the request ran before; Answer is set.
	Replay Kind = "replay"
)

// Decision is the result of Begin.
type Decision struct {
	Kind   Kind
	Ticket *Ticket
	Answer Answer
}

// claimID identifies a claim by the ID and incarnation of its claimer and by its sequence
// number there.
type claimID struct {
	ref machine.Ref
	seq uint64
}

// encode returns the text that parseClaimID reads. It omits the instance ID, because only the
// claimer itself parses the text.
func (id claimID) encode() string { return fmt.Sprintf("%d/%d", id.ref.Incarnation, id.seq) }

// parseClaimID parses the encoded ID of a claim of instance self.
func parseClaimID(s string, self string) (claimID, bool) {
	var id claimID
	n, err := fmt.Fscanf(strings.NewReader(s), "%d/%d", &id.ref.Incarnation, &id.seq)
	id.ref.ID = self
	return id, err == nil && n == 2
}
