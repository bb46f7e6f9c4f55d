package claim

import (
	"io"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"

	"github.com/cicadasill/cicadasill/timing"
)

// Defaults of Options.
const (
	// DefaultAppendsPerSecond is the rate at which all instances together append to the claim
	// streams.
	DefaultAppendsPerSecond = 300
	DefaultClaimTimeout     = 2 * time.Second
	DefaultLogTimeout       = time.Second
	// DefaultOutageAfter is how long the log has to fail until requests are refused without
	// trying it.
	DefaultOutageAfter = time.Second
	// DefaultEndDelay delays `ran` ends so that they share an append with later claims.
	DefaultEndDelay = 500 * time.Millisecond
	// DefaultReadBackInterval is how often an instance reads its own appends back to learn
	// their record times.
	DefaultReadBackInterval = 5 * time.Second
	DefaultAskWait          = 2 * time.Second
	DefaultJoinTimeout      = 30 * time.Second
	DefaultFlushTimeout     = 2 * time.Second
	// DefaultMaxKeptBytes bounds the total size of the answers kept for replay.
	DefaultMaxKeptBytes = 32 << 20
)

const (
	// lifetimeMargin is added to the retry window, because a retry that is sent at the
	// window's end reaches the log later. Half of it bounds how long a request may wait before
	// it claims a key; the other half is left after a ticket's deadline.
	lifetimeMargin = time.Minute
	// releasedRetention is how long the ID of a released claim is remembered, so that a
	// delayed append of the claim has no effect.
	releasedRetention = 10 * time.Minute
	maxBatchEntries   = 256                    // maximum number of claims, and of ends, in one record
	readPageSize      = 1000                   // maximum number of records in one read
	readWait          = 200 * time.Millisecond // how long the log may hold a read open for a new record
	askBackoff        = 50 * time.Millisecond  // between two requests to a claimer
	logBackoff        = 100 * time.Millisecond // after a failed log operation
	// outageProbeInterval is the pause between reads that test whether the log is available
	// again.
	outageProbeInterval = 500 * time.Millisecond
	// askGrace is the time allowed for an answer to return from a claimer that has waited.
	askGrace = 500 * time.Millisecond
)

// Options configures Claims. Zero fields take the defaults.
type Options struct {
	Registerer prometheus.Registerer
	Logger     *log.Logger

	// AppendsPerSecond is the rate at which all instances together append to the claim
	// streams.
	AppendsPerSecond float64
	// Share is how the instances divide that rate; empty means EvenShare.
	Share Share
	// ClaimTimeout bounds the time from Begin until the log has decided the claim.
	ClaimTimeout time.Duration
	// LogTimeout bounds one append or read.
	LogTimeout time.Duration
	// OutageAfter is how long the log has to fail until requests are refused without trying
	// it.
	OutageAfter time.Duration
	// EndDelay is how long a `ran` end may wait to share an append with claims.
	EndDelay time.Duration
	// ReadBackInterval is how often own appends are read back to learn their record times.
	ReadBackInterval time.Duration
	// AskWait is how long a claimer may wait for its run to end before it answers.
	AskWait time.Duration
	// JoinTimeout bounds Begin if its context has no deadline.
	JoinTimeout time.Duration
	// FlushTimeout bounds the appends of Close.
	FlushTimeout time.Duration
	// MaxKeptBytes bounds the total size of the answers kept for replay.
	MaxKeptBytes int64
}

func (o Options) withDefaults() Options {
	if o.Logger == nil {
		o.Logger = log.New(io.Discard)
	}
	if o.AppendsPerSecond == 0 {
		o.AppendsPerSecond = DefaultAppendsPerSecond
	}
	if o.MaxKeptBytes == 0 {
		o.MaxKeptBytes = DefaultMaxKeptBytes
	}
	timing.SetDefault(&o.ClaimTimeout, DefaultClaimTimeout)
	timing.SetDefault(&o.LogTimeout, DefaultLogTimeout)
	timing.SetDefault(&o.OutageAfter, DefaultOutageAfter)
	timing.SetDefault(&o.EndDelay, DefaultEndDelay)
	timing.SetDefault(&o.ReadBackInterval, DefaultReadBackInterval)
	timing.SetDefault(&o.AskWait, DefaultAskWait)
	timing.SetDefault(&o.JoinTimeout, DefaultJoinTimeout)
	timing.SetDefault(&o.FlushTimeout, DefaultFlushTimeout)
	return o
}
