package intake

import (
	"bytes"
	"errors"
	"io"
	"testing"
	"testing/iotest"
	"time"

	"github.com/matryer/is"
	"github.com/prometheus/client_golang/prometheus"
	dto "github.com/prometheus/client_model/go"

	"github.com/cicadasill/cicadasill/flood"
)

// count returns the refusals of the memory "test" for a reason.
func (m *Metrics) count(reason string) float64 {
	var metric dto.Metric
	if err := m.refusals.WithLabelValues("test", reason).Write(&metric); err != nil {
		panic(err)
	}
	return metric.GetCounter().GetValue()
}

// Guards against bodies that change on their way into memory, with and without a stated length, and against a limit that is off by one.
func TestBodiesAreReadWhole(t *testing.T) {
	is := is.New(t)
	m := New(Options{Limits: Limits(100 << 20)})
	for _, size := range []int64{0, 1, firstBytes, firstBytes + 1, 70_000, 300_000} {
		body := bytes.Repeat([]byte("abc"), int(size))[:size]
		for _, length := range []int64{size, -1} {
			share := m.Open(0, func() {})
			got, err := share.ReadAll(iotest.HalfReader(bytes.NewReader(body)), Body{Length: length, Limit: size})
			is.NoErr(err)
			is.True(bytes.Equal(got, body))
			is.True(share.entry.Size() >= size)
			share.Release()
			if size > 0 {
				share := m.Open(0, func() {})
				_, err = share.ReadAll(bytes.NewReader(body), Body{Length: length, Limit: size - 1})
				is.True(errors.Is(err, ErrTooLarge))
				share.Release()
			}
		}
	}
	is.Equal(m.Used(), int64(0))
	share := m.Open(0, func() {})
	_, err := share.ReadAll(bytes.NewReader([]byte("ab")), Body{Length: 3, Limit: 3})
	is.Equal(err, io.ErrUnexpectedEOF)
}

// Guards against a body that stalls and is waited for although another one needs its memory, and against a refusal without a count.
func TestStalledBodyGivesWay(t *testing.T) {
	is := is.New(t)
	registry := prometheus.NewRegistry()
	metrics := NewMetrics(registry)
	m := New(Options{Name: "test", Limits: flood.MemoryLimits{Large: 1 << 20, StallTime: time.Millisecond}, Metrics: metrics})
	r, w := io.Pipe()
	stalled := m.Open(0, func() { _ = r.CloseWithError(io.ErrClosedPipe) })
	ended := make(chan error, 1)
	go func() {
		_, err := stalled.ReadAll(r, Body{Length: 1 << 20, Limit: 1 << 20})
		ended <- err
	}()
	_, err := w.Write(make([]byte, 1<<19))
	is.NoErr(err)
	time.Sleep(2 * time.Millisecond) // longer than StallTime
	share := m.Open(0, func() {})
	is.NoErr(share.Resize(1 << 20))
	is.True(errors.Is(<-ended, ErrFull))
	is.Equal(metrics.count(reasonGaveWay), 1.0)
	stalled.Release()
	is.NoErr(share.complete())
	is.True(errors.Is(m.Open(0, func() {}).Resize(1<<20), ErrFull))
	is.Equal(metrics.count(reasonFull), 1.0)
	share.Release()
	is.Equal(m.Used(), int64(0))
}

// Guards against single bytes that count as progress.
func TestSingleBytesAreNoProgress(t *testing.T) {
	is := is.New(t)
	m := New(Options{Limits: flood.MemoryLimits{Large: 1 << 20, StallTime: 50 * time.Millisecond}})
	r, w := io.Pipe()
	slow := m.Open(0, func() { _ = r.CloseWithError(io.ErrClosedPipe) })
	ended := make(chan error, 1)
	go func() {
		_, err := slow.ReadAll(r, Body{Length: 1 << 20, Limit: 1 << 20})
		ended <- err
	}()
	for start := time.Now(); time.Since(start) < 100*time.Millisecond; time.Sleep(time.Millisecond) {
		_, err := w.Write([]byte("b"))
		is.NoErr(err)
	}
	is.NoErr(m.Open(0, func() {}).Resize(1 << 20))
	is.True(errors.Is(<-ended, ErrFull))
}
