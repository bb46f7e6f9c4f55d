package digest

import (
	"fmt"
	"time"

	"github.com/fxamacker/cbor/v2"

	"github.com/cicadasill/cicadasill/backends"
	"github.com/cicadasill/cicadasill/timing"
)

// Follower applies the answers of readers to a Target. Its methods must not be called concurrently.
type Follower struct {
	target Target
	// recordOutage is called if the reader's store has failed to answer recently.
	recordOutage func()
	reader       string // id of the instance whose numbers position holds
	position     request
	currentAt    time.Duration // since boot: when the entries that were applied were current; 0 if none were
}

// OlderError reports an answer from a copy that is older than what this instance holds.
type OlderError struct{ By time.Duration }

// Error implements error.
func (e *OlderError) Error() string {
	return fmt.Sprintf("the reader's entries are %v older than those of this instance", e.By)
}

// olderTolerance is by how much an answer may be older. Readers read some hundred milliseconds apart.
const olderTolerance = time.Second

// NewFollower returns a Follower that knows no entries.
func NewFollower(target Target, recordOutage func()) *Follower {
	return &Follower{target: target, recordOutage: recordOutage}
}

// Holds states that this instance's entries are of the given age.
func (f *Follower) Holds(age time.Duration) { f.currentAt = timing.SinceBoot() - age }

// Request returns the request for the changes that the named reader has seen since its last answer.
func (f *Follower) Request(reader string) ([]byte, error) {
	if f.reader != reader {
		f.reader, f.position = reader, request{}
	}
	return cbor.Marshal(&f.position)
}

// Forget makes the next request ask for all entries.
func (f *Follower) Forget() { f.reader, f.position = "", request{} }

// Apply applies the answer to the last request and returns the age of the reader's copy when it answered. It fails with *OlderError,
// and applies nothing, if this instance holds newer entries.
func (f *Follower) Apply(payload []byte) (age time.Duration, err error) {
	var a answer
	if err := cbor.Unmarshal(payload, &a); err != nil {
		return 0, fmt.Errorf("decode entries: %w", err)
	}
	currentAt := timing.SinceBoot() - a.Age
	if by := f.currentAt - currentAt; by > olderTolerance {
		return 0, &OlderError{By: by}
	}
	older := currentAt < f.currentAt
	f.currentAt = max(f.currentAt, currentAt)
	if a.Outage {
		f.recordOutage()
	}
	present := map[string]bool{}
	for _, e := range a.Entries {
		if e.Versions == nil {
			e.Versions = map[string]int64{}
		}
		if !a.Numbered {
			e.Seq = backends.Unnumbered
		}
		present[e.ID] = true
		f.target.Put(e)
	}
	for id, last := range a.Last {
		f.target.RecordRemoval(id, last)
	}
	for _, id := range a.Removed {
		f.target.Remove(id)
	}
	if a.Whole && older { // it may lack back ends that are new, so that the next request asks for all entries again
		f.position = request{}
		return a.Age, nil
	}
	if a.Whole {
		f.target.RemoveAllBut(present)
	}
	f.position = request{Epoch: a.Epoch, After: a.Number}
	return a.Age, nil
}
