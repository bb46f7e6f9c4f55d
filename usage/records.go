package usage

import (
	"fmt"
	"strconv"
	"strings"
	"sync"

	"github.com/charmbracelet/log"
	"github.com/fxamacker/cbor/v2"

	"github.com/cicadasill/cicadasill/changelog"
)

const (
	windowsTopic = "usage-windows"
	// sealedKeyPrefix is followed by the number of a sealed window.
	sealedKeyPrefix = "w/"
	// sentKey is the key of the number of the newest window that is sent.
	sentKey = "sent"
)

// sealedRecord is the stored report of a window that has not been sent.
type sealedRecord struct {
	Counts map[string]int64 `cbor:"1,keyasint"`
	// Holder is the instance that sealed the window.
	Holder string `cbor:"2,keyasint"`
}

// sharedLedger is a ledger that two replicas fill.
type sharedLedger struct {
	log *log.Logger

	mu sync.Mutex // guards ledger
	*ledger
}

// windowsState applies the records of windowsTopic to a ledger.
type windowsState struct{ *sharedLedger }

// Reset implements changelog.State.
func (s windowsState) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.sealed) // sentThrough never goes back
}

// Apply implements changelog.State.
func (s windowsState) Apply(r changelog.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if r.Key == sentKey {
		var window int64
		if err := cbor.Unmarshal(r.Value, &window); err != nil {
			s.log.Error("cannot decode usage record", "key", r.Key, "err", err)
			return
		}
		if !s.begun || window > s.sentThrough {
			s.begun, s.sentThrough = true, window
		}
		return
	}
	window, err := strconv.ParseInt(strings.TrimPrefix(r.Key, sealedKeyPrefix), 10, 64)
	if err != nil {
		s.log.Error("cannot decode usage record", "key", r.Key, "err", err)
		return
	}
	if r.Value == nil {
		delete(s.sealed, window)
		return
	}
	var sealed sealedRecord
	if err := cbor.Unmarshal(r.Value, &sealed); err != nil {
		s.log.Error("cannot decode usage record", "key", r.Key, "err", err)
		return
	}
	if sealed.Counts == nil {
		sealed.Counts = map[string]int64{} // a report without requests is sent as well
	}
	s.sealed[window] = Report{Window: window, Counts: sealed.Counts}
}

// countsState applies the records of countsTopic to a ledger.
type countsState struct{ *sharedLedger }

// Reset implements changelog.State.
func (s countsState) Reset() {
	s.mu.Lock()
	defer s.mu.Unlock()
	clear(s.byInstance)
}

// Apply implements changelog.State.
func (s countsState) Apply(r changelog.Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	number, _, _ := strings.Cut(r.Key, "/")
	window, err := strconv.ParseInt(number, 10, 64)
	if err != nil {
		s.log.Error("cannot decode usage counts", "key", r.Key, "err", err)
		return
	}
	if r.Value == nil {
		delete(s.byInstance[window], r.Key)
		if len(s.byInstance[window]) == 0 {
			delete(s.byInstance, window)
		}
		return
	}
	var next counts
	if err := cbor.Unmarshal(r.Value, &next); err != nil {
		s.log.Error("cannot decode usage counts", "key", r.Key, "err", err)
		return
	}
	if s.byInstance[window] == nil {
		s.byInstance[window] = map[string]counts{}
	}
	if next.Total > s.byInstance[window][r.Key].Total { // else a late append of an older record
		s.byInstance[window][r.Key] = next
	}
}

// sentRecord returns the record which states that all windows up to the given one are sent.
func sentRecord(window int64) (changelog.Record, error) {
	data, err := cbor.Marshal(window)
	return changelog.Record{Key: sentKey, Value: data}, err
}

// sealRecord returns the record that seals a report.
func sealRecord(report Report, holder string) (changelog.Record, error) {
	data, err := cbor.Marshal(sealedRecord{Counts: report.Counts, Holder: holder})
	return changelog.Record{Key: sealedKey(report.Window), Value: data}, err
}

func sealedKey(window int64) string { return fmt.Sprint(sealedKeyPrefix, window) }
