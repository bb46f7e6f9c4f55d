package control_test

import (
	"fmt"
	"testing"

	"github.com/cicadasill/cicadasill/control"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/release"
	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/zone"
)

// serviceRecord returns the i-th record of a stream that adds ten services with 60 samplers each
// and then changes them in turn.
func serviceRecord(s *control.State, i int) platform.Record {
	r := noteRecord(fmt.Sprintf("note-of-an-operator-%010d", i), s.Catalog.Revision())
	service := &r.Note.Added[0]
	service.Name, service.QueueLimit = fmt.Sprint("lm", i%10), i
	for k := range 60 {
		service.Backends = append(service.Backends, machine.Backend{
			ID: fmt.Sprintf("s%d-%d", i%10, k), Kind: machine.Sampler, Service: service.Name,
			Addr: "127.0.0.1:8000", Zone: zone.Zone{Region: "almaty", DataCentre: "alm-north"},
		})
	}
	if i >= 10 {
		r.Note.Added, r.Note.Changed = nil, r.Note.Added
	}
	data, _ := r.Encode()
	return platform.Record{Offset: s.Offset, Data: data}
}

// BenchmarkApply measures how long it takes to apply a note and to encode and decode a snapshot,
// and the size of the snapshot, when the catalog keeps MaxAcceptedNotes note ids.
func BenchmarkApply(b *testing.B) {
	s := control.Empty()
	for i := range release.MaxAcceptedNotes {
		s = s.Apply(serviceRecord(s, i))
	}
	rec := serviceRecord(s, 10)
	b.Run("note", func(b *testing.B) {
		for b.Loop() {
			s.Apply(rec)
		}
	})
	b.Run("snapshot", func(b *testing.B) {
		for b.Loop() {
			data, _ := control.EncodeSnapshot(s)
			if _, err := control.DecodeSnapshot(data); err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(data))/1e3, "kB")
		}
	})
}
