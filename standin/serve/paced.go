package serve

import (
	"context"
	"io"
	"time"
)

// pacedChunkBytes is the number of bytes that a paced transfer writes at a time.
const pacedChunkBytes = 128 << 10

// stallPollInterval is how often a transfer that is stalled by a rate of 0 checks the rate again.
const stallPollInterval = 20 * time.Millisecond

// WritePaced writes n zero bytes at rate bytes per second and returns the number of bytes written.
// The rate may change during the transfer. A rate of 0 stalls the transfer.
func WritePaced(ctx context.Context, w io.Writer, n int64, rate func() int64) int64 {
	buf := make([]byte, pacedChunkBytes)
	var written int64
	next := time.Now()
	for written < n {
		r := rate()
		if r <= 0 {
			if !Sleep(ctx, stallPollInterval) {
				return written
			}
			next = time.Now()
			continue
		}
		k, err := w.Write(buf[:min(int64(len(buf)), n-written)])
		written += int64(k)
		if err != nil {
			return written
		}
		next = next.Add(time.Duration(float64(k) / float64(r) * float64(time.Second)))
		if !Sleep(ctx, time.Until(next)) {
			return written
		}
	}
	return written
}
