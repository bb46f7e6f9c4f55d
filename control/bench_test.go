package control_test

import (
	"fmt"
	"testing"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/control"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/platform"
	"github.com/cicadasill/cicadasill/release"
	"github.com/cicadasill/cicadasill/zone"
)

// large returns a state with ten services of 60 samplers and a full memory of note ids.
func large(b *testing.B) *control.State {
	s := control.Empty()
	for i := 0; i < release.MaxAccepted; i++ {
		s = s.Apply(large1(b, s, i))
	}
	return s
}

// large1 returns the record that changes one of the ten services.
func large1(b *testing.B, s *control.State, i int) platform.Record {
	service := contract.Service{
		Name: fmt.Sprint("lm", i%10), Kind: machine.Sampler, QueueLimit: i,
		Calls: []contract.Call{{Name: "generate", Idempotent: true, Priority: contract.Staff}},
	}
	for k := range 60 {
		service.Backends = append(service.Backends, machine.Backend{
			ID: fmt.Sprintf("s%d-%d", i%10, k), Kind: machine.Sampler, Service: service.Name,
			Addr: "127.0.0.1:8000", Zone: zone.Zone{Region: "almaty", DataCentre: "alm-north"},
		})
	}
	n := &release.Note{ID: fmt.Sprintf("note-of-an-operator-%010d", i), Author: "operator", Base: s.Catalog.Revision()}
	if i < 10 {
		n.Added = []contract.Service{service}
	} else {
		n.Changed = []contract.Service{service}
	}
	data, err := control.Record{Kind: control.KindNote, Note: n}.Encode()
	if err != nil {
		b.Fatal(err)
	}
	return platform.Record{Offset: s.Offset, Data: data}
}

// BenchmarkApplyNote measures the fold of one note that changes a service of 60 samplers.
func BenchmarkApplyNote(b *testing.B) {
	s := large(b)
	rec := large1(b, s, 10)
	for b.Loop() {
		s.Apply(rec)
	}
}

// BenchmarkSnapshot measures the encoding and decoding of a state and its size.
func BenchmarkSnapshot(b *testing.B) {
	s := large(b)
	var size int
	for b.Loop() {
		data, err := control.EncodeSnapshot(s)
		if err != nil {
			b.Fatal(err)
		}
		if _, err := control.DecodeSnapshot(data); err != nil {
			b.Fatal(err)
		}
		size = len(data)
	}
	b.ReportMetric(float64(size)/1e3, "kB")
}
