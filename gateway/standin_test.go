package gateway_test

import (
	"context"
	"fmt"
	"net"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/gateway"
	"github.com/cicadasill/cicadasill/standalone/httpplatform"
	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/standin/engine"
	"github.com/cicadasill/cicadasill/standin/plain"
)

// deployOverHTTP starts one instance whose back ends are stand-ins on real connections. wrap may
// replace the engine client.
func deployOverHTTP(t *testing.T, wrap func(gateway.Engine) gateway.Engine) (*deployment, []*plain.Server, []*engine.Server) {
	t.Helper()
	addrs := map[string]string{}
	var plains []*plain.Server
	var engines []*engine.Server
	keys := plain.NewKeys()
	for i := range 3 {
		p, err := plain.Start(plain.Options{ID: fmt.Sprint(i), Keys: keys, AskByKey: true})
		if err != nil {
			t.Fatal(err)
		}
		e, err := engine.Start(engine.Options{ID: fmt.Sprint(i), Version: 3, TokenRate: 400, ChunkTokens: 2})
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(p.Close)
		t.Cleanup(e.Close)
		addrs[fmt.Sprintf("line-desk-%d:80", i)], addrs[fmt.Sprintf("fry-lm-%d:80", i)] = p.Addr(), e.Addr()
		plains, engines = append(plains, p), append(engines, e)
	}
	opts := httpplatform.Options{DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
		return (&net.Dialer{}).DialContext(ctx, network, addrs[addr])
	}}
	d := deploy(t, func(o *gateway.Options) {
		o.Plain, o.Engine = httpplatform.NewPlainService(opts), httpplatform.NewEngine(opts)
		if wrap != nil {
			o.Engine = wrap(o.Engine)
		}
	}, "a")
	for i, c := range d.services["line-desk"].Calls {
		if c.AskByKey {
			d.services["line-desk"].Calls[i] = contract.Call{Name: c.Name, Priority: c.Priority, AskByKey: true, SharedKeys: true}
		}
	}
	return d, plains, engines
}

// totalRuns returns how often the back ends together ran the key.
func totalRuns(plains []*plain.Server, key string) (n int) {
	for _, p := range plains {
		n += p.Ledger().RunsOfKey(key)
	}
	return n
}

// Guards P4, P5 and P6 over real connections. Whatever happens to the answer, an idempotent call
// must be answered, a non-idempotent one must never run twice nor state not_run after it may
// have run, and one whose back end can be asked by key must get its answer.
func TestPlainFaultsOverHTTP(t *testing.T) {
	for _, fault := range []plain.Fault{plain.CrashBefore, plain.CrashAfter, plain.Truncated, plain.Crossed, plain.Late, plain.Silent, plain.Refuse} {
		for _, call := range []string{"read", "book", "order"} {
			t.Run(string(fault)+"/"+call, func(t *testing.T) {
				t.Parallel()
				is := is.New(t)
				d, plains, _ := deployOverHTTP(t, nil)
				for _, p := range plains {
					p.Inject(fault, 1)
				}
				plains[0].Clear() // one of the three back ends works, so three attempts suffice
				if call != "read" {
					plains[0].Inject(fault, 1)
				}
				r := d.post(context.Background(), "a", "line-desk/calls/"+call, "body", gateway.HeaderKey, "key", gateway.HeaderAttempt, "1")
				want := gateway.Answered
				if call == "book" {
					want = gateway.Unknown
				}
				if call == "book" && fault == plain.Refuse {
					want = gateway.NotRun // all three refused without running the call
				}
				if call == "order" && fault == plain.Refuse {
					want = gateway.NotRun
				}
				is.Equal(r.outcome, want)
				if r.outcome == gateway.Answered {
					is.True(strings.Contains(r.body, `"key":"key"`)) // the answer belongs to this request
				}
				d.quiesce()
				if runs := totalRuns(plains, "key"); call != "read" && runs > 1 || r.outcome == gateway.NotRun && runs > 0 {
					t.Errorf("%s after %d runs", r.outcome, runs)
				}
			})
		}
	}
}

// faultingEngine calls inject once, with an engine's address, after a stream delivered three events.
type faultingEngine struct {
	gateway.Engine
	inject func(addr string)
}

func (s *faultingEngine) Generate(ctx context.Context, addr string, req platform.GenerateRequest) (platform.GenerateStream, error) {
	inner, err := s.Engine.Generate(ctx, addr, req)
	return &faultingStream{inner, s, addr, 0}, err
}

// faultingStream counts the events of one stream of a faultingEngine.
type faultingStream struct {
	platform.GenerateStream
	engine *faultingEngine
	addr   string
	events int
}

func (s *faultingStream) Next() (platform.GenerateEvent, error) {
	if s.events++; s.events == 4 && s.engine.inject != nil {
		s.engine.inject(s.addr)
		s.engine.inject = nil
	}
	return s.GenerateStream.Next()
}

// No token of a stream may be lost or repeated when its engine crashes, goes silent or starts to
// leave in the middle of the stream.
func TestEngineFaultsOverHTTP(t *testing.T) {
	for name, inject := range map[string]func(*engine.Server){
		"crash":  func(e *engine.Server) { e.Crash() },
		"silent": func(e *engine.Server) { e.SilenceOpen() },
		"leave":  func(e *engine.Server) { e.SetLeaving(true) },
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			is := is.New(t)
			s := &faultingEngine{}
			d, _, engines := deployOverHTTP(t, func(e gateway.Engine) gateway.Engine { s.Engine = e; return s })
			injected := false
			s.inject = func(addr string) {
				inject(engines[addr[len(addr)-1]-'0'])
				injected = true
			}
			r := d.post(context.Background(), "a", "fry-lm/calls/generate", fmt.Sprintf(generateBody, true))
			is.Equal(r.outcome, gateway.Answered)
			is.NoErr(checkTokens(r.body))
			is.True(injected)
		})
	}
}
