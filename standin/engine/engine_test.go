package engine_test

import (
	"context"
	"errors"
	"io"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/standalone/httpplatform"
	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/standin"
	"github.com/cicadasill/cicadasill/standin/engine"
	"github.com/cicadasill/cicadasill/standin/store"
	"github.com/cicadasill/cicadasill/zone"
)

var ctx = context.Background()

func start(t *testing.T, opts engine.Options) (*engine.Server, *httpplatform.Engine) {
	t.Helper()
	if opts.Version == 0 {
		opts.Version = 1
	}
	if opts.TokenRate == 0 {
		opts.TokenRate = 2000
	}
	opts.ChunkTokens, opts.WeightBytes = 2, 100_000
	s, err := engine.Start(opts)
	if err != nil {
		t.Fatal(err)
	}
	c := httpplatform.NewEngine(httpplatform.Options{})
	t.Cleanup(func() { c.Close(); s.Close() })
	return s, c
}

func order(version int64, source string, fence int64) platform.Order {
	return platform.Order{
		ID: "o", Kind: platform.LoadVersion, Version: version, Source: source, Fence: fence,
		Deadline: time.Now().Add(3 * time.Second),
	}
}

// generate reads a generation to its end. each is called after every event.
func generate(t *testing.T, c *httpplatform.Engine, addr string, req platform.GenerateRequest, each func(platform.GenerateEvent)) (events []platform.GenerateEvent, tokens []int64) {
	t.Helper()
	g, err := c.Generate(ctx, addr, req)
	for err == nil {
		var e platform.GenerateEvent
		if e, err = g.Next(); err != nil {
			break
		}
		events, tokens = append(events, e), append(tokens, e.Tokens...)
		if each != nil {
			each(e)
		}
	}
	if !errors.Is(err, io.EOF) {
		t.Fatal(err)
	}
	return events, tokens
}

// Guards against token truth that disagrees with the version that the events name.
func TestSwapDuringASequenceShowsInEventsAndTokens(t *testing.T) {
	is := is.New(t)
	st, err := store.Start(store.Options{WeightBytes: 100_000})
	is.NoErr(err)
	defer st.Close()
	home := zone.Zone{Region: "almaty", DataCentre: "alm-north"}
	s, c := start(t, engine.Options{ID: "a", StoreAddr: st.Addr(), Zone: home, TokenRate: 400, SwapTime: time.Millisecond})
	peer, _ := start(t, engine.Options{ID: "b", StoreAddr: st.Addr()})
	ordered := false
	events, tokens := generate(t, c, s.Addr(), platform.GenerateRequest{RequestID: "r", Prompt: "p", Seed: 5, MaxTokens: 100}, func(platform.GenerateEvent) {
		if !ordered {
			ordered = true
			is.NoErr(c.Order(ctx, s.Addr(), order(2, "store", 1)))
		}
	})
	seen := map[int64]bool{}
	for _, e := range events {
		for i, tok := range e.Tokens {
			is.Equal(tok, standin.Token("p", 5, e.Index+i, e.Version))
			seen[e.Version] = true
		}
	}
	is.Equal(len(tokens), 100)
	is.True(seen[1] && seen[2])
	is.Equal(events[0].KVVersion, int64(1))
	is.True(s.Ledger().UsedKV(standin.BodyHash([]byte("p")), 1))
	is.True(!s.Ledger().UsedKV(standin.BodyHash([]byte("p")), 2)) // the swap computes no KV anew
	is.Equal(st.Transfers()[0].Zone, home.String())
	is.NoErr(c.Order(ctx, peer.Addr(), order(2, s.Addr(), 1))) // from the other engine
	is.Equal(peer.Version(), int64(2))
	is.Equal(len(st.Transfers()), 1)
	is.Equal(s.Transfers()[engine.TransferKey{Kind: "weights", To: "/", From: home.String()}], int64(100_000))
}

// Guards against orders carried out against fencing or deadline, and against failed swaps that take effect.
func TestOrders(t *testing.T) {
	is := is.New(t)
	st, err := store.Start(store.Options{WeightBytes: 100_000})
	is.NoErr(err)
	defer st.Close()
	checks, c := start(t, engine.Options{ID: "a", StoreAddr: st.Addr(), ChecksFencing: true, SwapTime: time.Millisecond})
	ignores, _ := start(t, engine.Options{ID: "b", StoreAddr: st.Addr(), SwapTime: time.Millisecond})
	for _, s := range []*engine.Server{checks, ignores} {
		is.NoErr(c.Order(ctx, s.Addr(), order(2, "store", 10)))
	}
	is.Equal(platform.CodeOf(c.Order(ctx, checks.Addr(), order(3, "store", 9))), platform.Refused)
	is.NoErr(c.Order(ctx, ignores.Addr(), order(3, "store", 9)))
	late := order(4, "store", 10)
	late.Deadline = time.Now().Add(-time.Second)
	is.Equal(platform.CodeOf(c.Order(ctx, ignores.Addr(), late)), platform.Refused)
	checks.FailSwaps(1)
	is.Equal(platform.CodeOf(c.Order(ctx, checks.Addr(), order(3, "store", 10))), platform.Unavailable)
	st.SetDown(true)
	is.Equal(platform.CodeOf(c.Order(ctx, checks.Addr(), order(3, "store", 10))), platform.Unavailable)
	is.Equal(checks.Version(), int64(2))
	st.SetDown(false)
	checks.LoseSwapAnswers(1)
	is.Equal(platform.CodeOf(c.Order(ctx, checks.Addr(), order(3, "store", 10))), platform.OutcomeUnknown)
	is.Equal(checks.Version(), int64(3)) // it took effect
}

// Guards against a cache entry of another version being used, and against an unlimited cache.
func TestPrefixCacheIsPerVersionAndLimited(t *testing.T) {
	is := is.New(t)
	st, err := store.Start(store.Options{WeightBytes: 100_000})
	is.NoErr(err)
	defer st.Close()
	s, c := start(t, engine.Options{ID: "a", StoreAddr: st.Addr(), CacheEntries: 2, CacheEventDelay: time.Nanosecond, CacheEventGap: 3})
	n := 0
	cached := func(prefix string) bool {
		n++
		events, _ := generate(t, c, s.Addr(), platform.GenerateRequest{RequestID: string(rune('a' + n)), Prompt: "p", PrefixID: prefix, MaxTokens: 1}, nil)
		return events[0].CachedPrompt
	}
	is.True(!cached("x"))
	is.True(cached("x"))
	is.NoErr(c.Order(ctx, s.Addr(), order(2, "store", 1)))
	is.True(!cached("x")) // computed by version 1
	is.True(!cached("y"))
	is.True(!cached("z"))
	is.True(!cached("x")) // evicted
	events, err := c.CacheEvents(ctx, s.Addr(), 0)
	is.NoErr(err)
	is.Equal(events[0].Seq, int64(1))
	for _, e := range events {
		is.True(e.Seq%3 != 0) // every third event is lost
	}
}

// Guards against resume that repeats or skips tokens, and KV used across versions.
func TestResumeAndKVImport(t *testing.T) {
	is := is.New(t)
	a, c := start(t, engine.Options{ID: "a", PrefillRate: 1000})
	b, _ := start(t, engine.Options{ID: "b", PrefillRate: 1000})
	old, _ := start(t, engine.Options{ID: "c", Version: 7, PrefillRate: 1000})
	_, first := generate(t, c, a.Addr(), platform.GenerateRequest{RequestID: "r1", Prompt: "prompt", Seed: 3, MaxTokens: 10}, nil)
	for _, to := range []*engine.Server{b, old} {
		events, rest := generate(t, c, to.Addr(), platform.GenerateRequest{
			RequestID: "r2", Prompt: "prompt", Seed: 3, MaxTokens: 25, ResumeTokens: first, KVFrom: a.Addr(), KVRequest: "r1",
		}, nil)
		is.Equal(len(rest), 15)
		is.Equal(events[0].Index, 10)
		is.Equal(events[len(events)-1].Total, 25)
		is.Equal(events[0].KVVersion, to.Version()) // the other version computed the KV itself
		is.Equal(to.Ledger().Executions("r2")[0].Resumed, 10)
	}
	is.True(a.Transfers()[engine.TransferKey{Kind: "kv", To: "/", From: "/"}] > 0)
}

// Guards against an engine that works on for a client that has left.
func TestClientThatLeavesCancels(t *testing.T) {
	is := is.New(t)
	s, c := start(t, engine.Options{ID: "a", TokenRate: 100})
	g, err := c.Generate(ctx, s.Addr(), platform.GenerateRequest{RequestID: "r", Prompt: "p", MaxTokens: 1 << 20})
	is.NoErr(err)
	_, err = g.Next()
	is.NoErr(err)
	is.NoErr(g.Close())
	g2, err := c.Generate(ctx, s.Addr(), platform.GenerateRequest{RequestID: "r2", Prompt: "p", MaxTokens: 1 << 20})
	is.NoErr(err)
	defer g2.Close()
	is.NoErr(c.Cancel(ctx, s.Addr(), "r2"))
	for err == nil {
		_, err = g2.Next()
	}
	is.True(!errors.Is(err, io.EOF)) // cancelled, not whole
	eventually(t, func() bool { return !s.Ledger().Executions("r")[0].Ended.IsZero() })
	is.True(!s.Ledger().Executions("r")[0].Finished)
}

// Guards against a batch in which a low priority delays a high one, and against lost paused sequences.
func TestHigherPriorityPreempts(t *testing.T) {
	is := is.New(t)
	s, c := start(t, engine.Options{ID: "a", TokenRate: 1000, MaxBatch: 1})
	low, err := c.Generate(ctx, s.Addr(), platform.GenerateRequest{RequestID: "low", Prompt: "p", MaxTokens: 400})
	is.NoErr(err)
	_, err = low.Next()
	is.NoErr(err)
	generate(t, c, s.Addr(), platform.GenerateRequest{RequestID: "high", Prompt: "p", MaxTokens: 50, Priority: 1}, nil)
	is.True(s.Ledger().Executions("low")[0].Ended.IsZero()) // still there when the later one has finished
	total := 0
	for err == nil {
		var e platform.GenerateEvent
		if e, err = low.Next(); err == nil && e.Done {
			total = e.Total
		}
	}
	is.True(errors.Is(err, io.EOF))
	is.Equal(total, 400)
	is.Equal(s.Ledger().Executions("low")[0].Preempted, 1)
}

// eventually polls a condition that another goroutine brings about.
func eventually(t *testing.T, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("condition not reached")
		}
	}
}
