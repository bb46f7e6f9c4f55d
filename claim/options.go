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
	// DefaultAppendsPerSecond is what all instances together append to the claim streams.
	DefaultAppendsPerSecond = 300
	DefaultClaimTimeout     = 2 * time.Second
	DefaultLogTimeout       = time.Second
	// DefaultOutageAfter is how long the log fails before requests are refused without trying.
	DefaultOutageAfter = time.Second
	// DefaultEndDelay lets `ran` ends share an append with later claims.
	DefaultEndDelay = 500 * time.Millisecond
	// DefaultTrailPeriod is how often record times of own appends are read back.
	DefaultTrailPeriod  = 5 * time.Second
	DefaultAskWait      = 2 * time.Second
	DefaultJoinTimeout  = 30 * time.Second
	DefaultFlushTimeout = 2 * time.Second
	// DefaultMaxKeptBytes bounds the kept answers.
	DefaultMaxKeptBytes = 32 << 20
)

const (
	// slack is added to the retry window: a retry sent at the window's end reaches the log later.
	slack = time.Minute
	// releasedFor is how long a released claim's id is remembered, so that a delayed append of
	// the claim has no effect.
	releasedFor = 10 * time.Minute
	maxBatch    = 256  // claims and ends in one record, each
	readPage    = 1000 // records in one read
	readWait    = 200 * time.Millisecond
	askBackoff  = 50 * time.Millisecond
	logBackoff  = 100 * time.Millisecond
	// outageProbe is the pause between two reads that find out whether the log has returned.
	outageProbe = 500 * time.Millisecond
	// askGrace is the time for a waiting answer's way back.
	askGrace = 500 * time.Millisecond
)

// Options configure Claims. Zero fields take the defaults.
type Options struct {
	Registerer prometheus.Registerer
	Logger     *log.Logger

	// AppendsPerSecond is what all instances together append to the claim streams.
	AppendsPerSecond float64
	// Share is how the instances share it; empty means EvenShare.
	Share Share
	// ClaimTimeout bounds the time from Begin to the verdict of the log.
	ClaimTimeout time.Duration
	// LogTimeout bounds one append or read.
	LogTimeout   time.Duration
	OutageAfter  time.Duration
	EndDelay     time.Duration
	TrailPeriod  time.Duration
	AskWait      time.Duration
	JoinTimeout  time.Duration
	FlushTimeout time.Duration
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
	timing.SetDefault(&o.TrailPeriod, DefaultTrailPeriod)
	timing.SetDefault(&o.AskWait, DefaultAskWait)
	timing.SetDefault(&o.JoinTimeout, DefaultJoinTimeout)
	timing.SetDefault(&o.FlushTimeout, DefaultFlushTimeout)
	return o
}
