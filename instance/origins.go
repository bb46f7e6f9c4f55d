package instance

import (
	"context"
	"time"

	"github.com/cicadasill/cicadasill/origin"
	"github.com/cicadasill/cicadasill/presence"
)

// minOriginReadPause is the shortest pause between reads of the origins of streams. An instance that is asked for one that it does not
// know reads at once.
const minOriginReadPause = 500 * time.Millisecond

// newOrigins returns the table of the origins of streams.
func (i *Instance) newOrigins() *origin.Table {
	return origin.New(origin.Options{
		Log: i.store, Logger: i.log, Rank: i.presence.Rank,
		ReadWait:  func() time.Duration { return presence.LongPollWait(i.presence.Count()) },
		ReadPause: func() time.Duration { return presence.LongPollPause(minOriginReadPause, i.presence.Count()) },
	})
}

// followOrigins follows the origins of streams, once the configuration has routes whose streams clients may take up, until ctx ends.
func (i *Instance) followOrigins(ctx context.Context) {
	for {
		changed := i.operators.Changed()
		if config := i.config.Load(); config != nil && config.HasStreams() {
			break
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
	i.origins.Run(ctx, i.storeMonitor("origins"))
}
