package control_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand"
	"os"
	"strconv"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/control"
	"github.com/cicadasill/cicadasill/lease"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/release"
	"github.com/cicadasill/cicadasill/standalone/platform"
)

func apply(t *testing.T, s *control.State, records ...control.Record) *control.State {
	t.Helper()
	for _, r := range records {
		data, err := r.Encode()
		if err != nil {
			t.Fatal(err)
		}
		s = s.Apply(platform.Record{Offset: s.Offset, Data: data})
	}
	return s
}

func noteRecord(id string, base int64, withdrawn ...string) control.Record {
	n := &release.Note{ID: id, Author: "a", Base: base, Withdrawn: withdrawn}
	if len(withdrawn) == 0 {
		n.Added = []contract.Service{{
			Name: "lm", Kind: machine.Sampler,
			Calls: []contract.Call{{Name: "generate", Idempotent: true, Priority: contract.Staff}},
		}}
	}
	return control.Record{Kind: control.KindNote, Note: n}
}

func versionRecord(kind control.Kind, v int64) control.Record {
	return control.Record{Kind: kind, Version: &control.Version{Service: "lm", Version: v}}
}

// Guards against a withdrawn version that becomes the newest version again. The announcement and
// the withdrawal can reach the log in either order and can be repeated after the version was
// discarded.
func TestWithdrawnVersionStaysWithdrawn(t *testing.T) {
	is := is.New(t)
	s := apply(t, control.Empty(), noteRecord("n", 0),
		versionRecord(control.KindVersionAnnounced, 3), versionRecord(control.KindVersionAnnounced, 4),
		versionRecord(control.KindVersionWithdrawn, 4), versionRecord(control.KindVersionAnnounced, 4),
		versionRecord(control.KindVersionWithdrawn, 5), versionRecord(control.KindVersionAnnounced, 5))
	newest, offset := s.Versions.Newest("lm")
	is.Equal(newest, int64(3))
	is.Equal(offset, int64(1))
	is.True(s.Versions.Withdrawn("lm", 4) && s.Versions.Withdrawn("lm", 5) && !s.Versions.Withdrawn("lm", 3))
	for v := int64(10); v < 10+2*control.MaxVersionsPerService; v++ {
		s = apply(t, s, versionRecord(control.KindVersionAnnounced, v))
	}
	s = apply(t, s, versionRecord(control.KindVersionAnnounced, 4))
	newest, _ = s.Versions.Newest("lm")
	is.Equal(newest, int64(9+2*control.MaxVersionsPerService))
	is.True(s.Versions.Withdrawn("lm", 4))
	is.True(!s.Versions.Announced("lm", 4))
}

// Guards against a list of versions that omits withdrawn versions or loses the trainer that
// announced a version, both before and after a snapshot is restored.
func TestAllVersionsAreListed(t *testing.T) {
	is := is.New(t)
	announced := control.Record{Kind: control.KindVersionAnnounced, Version: &control.Version{Service: "lm", Version: 3, Trainer: "main"}}
	s := apply(t, control.Empty(), noteRecord("n", 0), announced, versionRecord(control.KindVersionWithdrawn, 3))
	want := []control.AnnouncedVersion{{Version: 3, Offset: 1, Trainer: "main", Withdrawn: true}}
	is.Equal(s.Versions.All("lm"), want)
	data, err := control.EncodeSnapshot(s)
	is.NoErr(err)
	restored, err := control.DecodeSnapshot(data)
	is.NoErr(err)
	is.Equal(restored.Versions.All("lm"), want)
}

// Guards against a record that stops the processing of the stream, and against a skipped record
// without a typed reason.
func TestSkippedRecords(t *testing.T) {
	for data, reason := range map[string]control.SkipReason{
		``:                                  control.SkipMalformed,
		`{"kind":`:                          control.SkipMalformed,
		`{"kind":7}`:                        control.SkipMalformed,
		`{"kind":"later"}`:                  control.SkipUnknownKind,
		`{"kind":"note"}`:                   control.SkipIncomplete,
		`{"kind":"note","note":{"id":"x"}}`: control.SkipNoteRefused,
		`{"kind":"version_announced","version":{"service":"none","version":1}}`:     control.SkipUnknownService,
		`{"kind":"version_announced","version":{"service":"lm","version":-1}}`:      control.SkipIncomplete,
		`{"kind":"version_announced","version":{"service":"lm","version":1}}`:       control.SkipVersionUnchanged,
		`{"kind":"lease_renewed","renewal":{"holder":{"id":"a"},"epochs":{"d":1}}}`: control.SkipLeaseRefused,
	} {
		t.Run(data, func(t *testing.T) {
			is := is.New(t)
			s := apply(t, control.Empty(), noteRecord("n", 0), versionRecord(control.KindVersionAnnounced, 1))
			next, err := s.ApplyRecord(platform.Record{Offset: s.Offset, Data: []byte(data)})
			var skip *control.SkipError
			is.True(errors.As(err, &skip))
			is.Equal(skip.Reason, reason)
			is.Equal(next.Offset, s.Offset+1)
			is.True(next.Chain != s.Chain)
		})
	}
}

// newRand returns a random source seeded with CICADASILL_SEED, or with 1 if that is not a number,
// and logs the seed.
func newRand(t *testing.T) *rand.Rand {
	n, err := strconv.ParseInt(os.Getenv("CICADASILL_SEED"), 10, 64)
	if err != nil {
		n = 1
	}
	t.Logf("seed %d", n)
	return rand.New(rand.NewSource(n))
}

func randomRecord(r *rand.Rand, offset int64) control.Record {
	holder := machine.Ref{ID: fmt.Sprint("i", r.Intn(3)), Incarnation: 1}
	switch r.Intn(7) {
	case 0:
		return noteRecord(fmt.Sprint("n", r.Intn(50)), r.Int63n(offset+1))
	case 1:
		return noteRecord(fmt.Sprint("n", r.Intn(50)), r.Int63n(offset+1), "lm")
	case 2:
		return versionRecord(control.KindVersionAnnounced, 1+r.Int63n(600))
	case 3:
		return versionRecord(control.KindVersionWithdrawn, 1+r.Int63n(600))
	case 4:
		return control.Record{Kind: control.KindLeaseAcquired, Acquire: &lease.Acquire{
			Duty: "d", Holder: holder, PredecessorEpoch: r.Int63n(offset+2) - 1, PredecessorRenewal: r.Int63n(offset+2) - 1}}
	case 5:
		return control.Record{Kind: control.KindLeaseRenewed, Renewal: &lease.Renewal{
			Holder: holder, Epochs: map[string]int64{"d": r.Int63n(offset + 1)}}}
	default:
		return control.Record{Kind: control.KindSnapshotMarker, Marker: &control.Marker{StateOffset: r.Int63n(offset + 1)}}
	}
}

// Guards against a snapshot that loses state. A stream that is continued from snapshots taken at
// random points must lead to the same state as a stream that is applied without interruption.
func TestStateFromSnapshotEqualsStateFromStart(t *testing.T) {
	is := is.New(t)
	r := newRand(t)
	uninterrupted, restored := control.Empty(), control.Empty()
	for i := 0; i < 3000; i++ {
		record := randomRecord(r, uninterrupted.Offset%40)
		uninterrupted, restored = apply(t, uninterrupted, record), apply(t, restored, record)
		if r.Intn(100) == 0 {
			data, err := control.EncodeSnapshot(restored)
			is.NoErr(err)
			restored, err = control.DecodeSnapshot(data)
			is.NoErr(err)
		}
	}
	a, err := json.Marshal(uninterrupted)
	is.NoErr(err)
	b, err := json.Marshal(restored)
	is.NoErr(err)
	is.Equal(string(a), string(b))
}

// Guards against the use of a damaged snapshot. Flipping the lowest bit of any byte must give a
// *SnapshotError, unless the snapshot still decodes to a state with the same offset.
func TestDamagedSnapshot(t *testing.T) {
	is := is.New(t)
	data, err := control.EncodeSnapshot(apply(t, control.Empty(), noteRecord("n", 0)))
	is.NoErr(err)
	for i := range data {
		damaged := append([]byte{}, data...)
		damaged[i] ^= 1
		s, err := control.DecodeSnapshot(damaged)
		var snapshotErr *control.SnapshotError
		is.True(errors.As(err, &snapshotErr) || (err == nil && s.Offset == 1))
	}
	_, err = control.DecodeSnapshot(data[:len(data)/2])
	is.True(err != nil)
}

// Guards against a panic on any record data, and against a state that does not survive a snapshot.
func FuzzApply(f *testing.F) {
	f.Add([]byte(`{"kind":"note","note":{"id":"a","author":"b","withdrawn":["lm"]}}`), []byte(`{}`))
	f.Add([]byte(`{"kind":"lease_acquired","acquire":{"duty":"d","holder":{"id":"a"}}}`), []byte(`null`))
	f.Fuzz(func(t *testing.T, first, second []byte) {
		s := control.Empty()
		for _, data := range [][]byte{first, second, first} {
			s = s.Apply(platform.Record{Offset: s.Offset, Data: data})
		}
		data, err := control.EncodeSnapshot(s)
		if err != nil {
			t.Fatal(err)
		}
		back, err := control.DecodeSnapshot(data)
		if err != nil || back.Chain != s.Chain || back.Offset != 3 {
			t.Fatalf("snapshot of %v: %v", s, err)
		}
	})
}
