package serve

import (
	"context"
	"io"
	"time"
)

// pacedChunk is the unit of a paced transfer.
const pacedChunk = 128 << 10

// pacedStall is how often a transfer with a rate of 0 looks whether it may go on.
const pacedStall = 20 * time.Millisecond

// Paced writes n zero bytes at rate bytes per second and returns the number written. The
// rate may change during the transfer; 0 stalls it.
func Paced(ctx context.Context, w io.Writer, n int64, rate func() int64) int64 {
	buf := make([]byte, pacedChunk)
	var written int64
	next := time.Now()
	for written < n {
		r := rate()
		if r <= 0 {
			if !Sleep(ctx, pacedStall) {
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
