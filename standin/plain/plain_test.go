package plain_test

import (
	"context"
	"encoding/json"
	"testing"
	"time"

	"github.com/matryer/is"
	"github.com/sourcegraph/conc"

	"github.com/cicadasill/cicadasill/standalone/httpplatform"
	"github.com/cicadasill/cicadasill/standalone/platform"
	"github.com/cicadasill/cicadasill/standin"
	"github.com/cicadasill/cicadasill/standin/list"
	"github.com/cicadasill/cicadasill/standin/plain"
)

var ctx = context.Background()

// Guards against a stand-in that runs a key twice although it offers ask_by_key, and against one
// that does not record a second run.
func TestLedgerAndKeys(t *testing.T) {
	for _, ask := range []bool{false, true} {
		is := is.New(t)
		s, err := plain.Start(plain.Options{ID: "p", AskByKey: ask, ServiceTime: 20 * time.Millisecond})
		is.NoErr(err)
		c := httpplatform.NewPlainService(httpplatform.Options{})
		var wg conc.WaitGroup
		for _, id := range []string{"r1", "r2"} {
			wg.Go(func() {
				resp, err := c.Do(ctx, s.Addr(), platform.PlainRequest{RequestID: id, Call: "book", Key: "k", Body: []byte("oil")})
				is.NoErr(err)
				var a plain.Answer
				is.NoErr(json.Unmarshal(resp.Body, &a))
				is.Equal(a.Key, "k")
				is.Equal(a.BodyHash, standin.BodyHash([]byte("oil")))
			})
		}
		wg.Wait()
		status, err := c.AskByKey(ctx, s.Addr(), "k")
		if ask {
			is.NoErr(err)
			is.True(status.Ran)
			is.Equal(s.Ledger().RunsOfKey("k"), 1)
			status, err = c.AskByKey(ctx, s.Addr(), "other")
			is.NoErr(err)
			is.True(!status.Ran && !status.Running)
		} else {
			is.True(err != nil)
			is.Equal(s.Ledger().RunsOfKey("k"), 2)
			is.Equal(s.Ledger().RunsOfRequest("r1"), 1)
		}
		c.Close()
		s.Close()
	}
}

// Guards against a leaving service that refuses a request but runs it, and against a health
// answer that does not report leaving.
func TestLeavingRefusesWithoutRunning(t *testing.T) {
	is := is.New(t)
	s, err := plain.Start(plain.Options{ID: "p"})
	is.NoErr(err)
	defer s.Close()
	c := httpplatform.NewPlainService(httpplatform.Options{})
	defer c.Close()
	s.SetLeaving(true)
	_, err = c.Do(ctx, s.Addr(), platform.PlainRequest{RequestID: "r", Call: "book", Key: "k"})
	is.Equal(platform.CodeOf(err), platform.LeavingBackend)
	leaving, err := c.Health(ctx, s.Addr())
	is.NoErr(err)
	is.True(leaving)
	is.Equal(len(s.Ledger().Runs()), 0)
}

// Guards against changes that appear before the lag has passed, and against changes in a frozen list.
func TestListLagsAndFreezes(t *testing.T) {
	is := is.New(t)
	s, err := list.Start(list.Options{Lag: time.Hour})
	is.NoErr(err)
	defer s.Close()
	c := httpplatform.NewInstanceList("http://"+s.Addr(), httpplatform.Options{})
	defer c.Close()
	s.SetNow(platform.Listed{ID: "a", State: platform.Live})
	s.Set(platform.Listed{ID: "a", State: platform.Leaving})
	got, err := c.List(ctx)
	is.NoErr(err)
	is.Equal(got[0].State, platform.Live)
	again, err := c.List(ctx) // answered with 304
	is.NoErr(err)
	is.Equal(again, got)
	s.SetNow(platform.Listed{ID: "b", State: platform.Live})
	got, err = c.List(ctx)
	is.NoErr(err)
	is.Equal(len(got), 2)
	noLag, err := list.Start(list.Options{Lag: -1})
	is.NoErr(err)
	defer noLag.Close()
	noLag.Set(platform.Listed{ID: "a"})
	is.Equal(len(noLag.Visible()), 1)
	noLag.Freeze(true)
	noLag.Remove("a")
	is.Equal(len(noLag.Visible()), 1)
	noLag.Freeze(false)
	is.Equal(len(noLag.Visible()), 0)
}
