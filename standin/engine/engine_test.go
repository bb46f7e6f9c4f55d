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

func startEngine(t *testing.T, opts engine.Options) (*engine.Server, *httpplatform.Engine) {
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

// generate reads a generation to its end and calls onEvent, if not nil, after every event.
func generate(t *testing.T, c *httpplatform.Engine, addr string, req platform.GenerateRequest, onEvent func(platform.GenerateEvent)) (events []platform.GenerateEvent, tokens []int64) {
	t.Helper()
	g, err := c.Generate(ctx, addr, req)
	for err == nil {
		var e platform.GenerateEvent
		if e, err = g.Next(); err != nil {
			break
		}
		events, tokens = append(events, e), append(tokens, e.Tokens...)
		if onEvent != nil {
			onEvent(e)
		}
	}
	if !errors.Is(err, io.EOF) {
		t.Fatal(err)
	}
	return events, tokens
}

// Guards against tokens that do not belong to the weight version that their event states.
func TestSwapWithinSequenceIsVisibleInEventsAndTokens(t *testing.T) {
	is := is.New(t)
	st, err := store.Start(store.Options{WeightBytes: 100_000})
	is.NoErr(err)
	defer st.Close()
	home := zone.Zone{Region: "almaty", DataCentre: "alm-north"}
	s, c := startEngine(t, engine.Options{ID: "a", StoreAddr: st.Addr(), Zone: home, TokenRate: 400, SwapTime: time.Millisecond})
	peer, _ := startEngine(t, engine.Options{ID: "b", StoreAddr: st.Addr()})
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
	is.True(!s.Ledger().UsedKV(standin.BodyHash([]byte("p")), 2)) // the swap does not recompute the KV cache
	is.Equal(st.Transfers()[0].Zone, home.String())
	is.NoErr(c.Order(ctx, peer.Addr(), order(2, s.Addr(), 1))) // weights come from the other engine
	is.Equal(peer.Version(), int64(2))
	is.Equal(len(st.Transfers()), 1)
	is.Equal(s.Transfers()[engine.TransferKey{Kind: "weights", To: "/", From: home.String()}], int64(100_000))
}

// Guards against orders executed despite an outdated fencing token or a passed deadline, and
// against failed swaps that take effect.
func TestOrders(t *testing.T) {
	is := is.New(t)
	st, err := store.Start(store.Options{WeightBytes: 100_000})
	is.NoErr(err)
	defer st.Close()
	checking, c := startEngine(t, engine.Options{ID: "a", StoreAddr: st.Addr(), ChecksFencing: true, SwapTime: time.Millisecond})
	notChecking, _ := startEngine(t, engine.Options{ID: "b", StoreAddr: st.Addr(), SwapTime: time.Millisecond})
	for _, s := range []*engine.Server{checking, notChecking} {
		is.NoErr(c.Order(ctx, s.Addr(), order(2, "store", 10)))
	}
	is.Equal(platform.CodeOf(c.Order(ctx, checking.Addr(), order(3, "store", 9))), platform.Refused)
	is.NoErr(c.Order(ctx, notChecking.Addr(), order(3, "store", 9)))
	late := order(4, "store", 10)
	late.Deadline = time.Now().Add(-time.Second)
	is.Equal(platform.CodeOf(c.Order(ctx, notChecking.Addr(), late)), platform.Refused)
	checking.FailSwaps(1)
	is.Equal(platform.CodeOf(c.Order(ctx, checking.Addr(), order(3, "store", 10))), platform.Unavailable)
	st.SetDown(true)
	is.Equal(platform.CodeOf(c.Order(ctx, checking.Addr(), order(3, "store", 10))), platform.Unavailable)
	is.Equal(checking.Version(), int64(2))
	st.SetDown(false)
	checking.LoseSwapAnswers(1)
	is.Equal(platform.CodeOf(c.Order(ctx, checking.Addr(), order(3, "store", 10))), platform.OutcomeUnknown)
	is.Equal(checking.Version(), int64(3)) // it took effect
}

// Guards against the use of a cache entry of another weight version, and against an unlimited cache.
func TestPrefixCacheIsPerVersionAndLimited(t *testing.T) {
	is := is.New(t)
	st, err := store.Start(store.Options{WeightBytes: 100_000})
	is.NoErr(err)
	defer st.Close()
	s, c := startEngine(t, engine.Options{ID: "a", StoreAddr: st.Addr(), CacheEntries: 2, CacheEventDelay: time.Nanosecond, CacheEventGap: 3})
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

// Guards against a resumption that repeats or skips tokens, and against the use of a KV cache of
// another weight version.
func TestResumeAndKVImport(t *testing.T) {
	is := is.New(t)
	a, c := startEngine(t, engine.Options{ID: "a", PrefillRate: 1000})
	b, _ := startEngine(t, engine.Options{ID: "b", PrefillRate: 1000})
	old, _ := startEngine(t, engine.Options{ID: "c", Version: 7, PrefillRate: 1000})
	_, first := generate(t, c, a.Addr(), platform.GenerateRequest{RequestID: "r1", Prompt: "prompt", Seed: 3, MaxTokens: 10}, nil)
	for _, to := range []*engine.Server{b, old} {
		events, rest := generate(t, c, to.Addr(), platform.GenerateRequest{
			RequestID: "r2", Prompt: "prompt", Seed: 3, MaxTokens: 25, ResumeTokens: first, KVFrom: a.Addr(), KVRequest: "r1",
		}, nil)
		is.Equal(len(rest), 15)
		is.Equal(events[0].Index, 10)
		is.Equal(events[len(events)-1].Total, 25)
		is.Equal(events[0].KVVersion, to.Version()) // the engine with another version recomputed the KV cache
		is.Equal(to.Ledger().Executions("r2")[0].Resumed, 10)
	}
	is.True(a.Transfers()[engine.TransferKey{Kind: "kv", To: "/", From: "/"}] > 0)
}

// Guards against an engine that continues to generate for a client that has disconnected.
func TestDisconnectCancelsGeneration(t *testing.T) {
	is := is.New(t)
	s, c := startEngine(t, engine.Options{ID: "a", TokenRate: 100})
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
	is.True(!errors.Is(err, io.EOF)) // cancelled, not complete
	eventually(t, func() bool { return !s.Ledger().Executions("r")[0].Ended.IsZero() })
	is.True(!s.Ledger().Executions("r")[0].Finished)
}

// Guards against a low-priority sequence that delays a high-priority one, and against the loss
// of preempted sequences.
func TestHigherPriorityPreempts(t *testing.T) {
	is := is.New(t)
	s, c := startEngine(t, engine.Options{ID: "a", TokenRate: 1000, MaxBatch: 1})
	low, err := c.Generate(ctx, s.Addr(), platform.GenerateRequest{RequestID: "low", Prompt: "p", MaxTokens: 400})
	is.NoErr(err)
	_, err = low.Next()
	is.NoErr(err)
	generate(t, c, s.Addr(), platform.GenerateRequest{RequestID: "high", Prompt: "p", MaxTokens: 50, Priority: 1}, nil)
	is.True(s.Ledger().Executions("low")[0].Ended.IsZero()) // still running after the later one has finished
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

// eventually polls until ok returns true and fails the test after 10 s.
func eventually(t *testing.T, ok func() bool) {
	t.Helper()
	for deadline := time.Now().Add(10 * time.Second); !ok(); time.Sleep(time.Millisecond) {
		if time.Now().After(deadline) {
			t.Fatal("condition not reached")
		}
	}
}
