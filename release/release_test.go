package release_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/release"
)

func plain(name string) contract.Service {
	return contract.Service{
		Name: name, Kind: machine.Plain,
		Calls: []contract.Call{{Name: "book", Priority: contract.Staff}},
	}
}

func sampler(name, scorer string) contract.Service {
	s := contract.Service{
		Name: name, Kind: machine.Sampler, Trainers: []contract.Trainer{{Name: "t", Share: 1}},
		Calls:   []contract.Call{{Name: "generate", Idempotent: true, Priority: contract.Staff}},
		Rollout: &contract.RolloutTerms{MaxVersionLag: 2, MaxSwappingFraction: 0.3},
	}
	if scorer != "" {
		s.Rollout.ScoringService, s.Rollout.ScoringCall = scorer, "book"
	}
	return s
}

func add(id string, base int64, services ...contract.Service) *release.Note {
	return &release.Note{ID: id, Author: "a", Base: base, Added: services}
}

const faulty = `{
  "id": "n1", "author": "amina", "base": 0,
  "added": [{
    "name": "fry-lm", "kind": "sampler", "colour": 1,
    "calls": [{"name": "book", "priority": "staff"}],
    "trainers": [
      {"name": "t1", "share": 0.7},
      {"name": "t2", "share": 0.7}],
    "backends": [
      {"id": "s1", "kind": "plain", "service": "other", "addr": "127.0.0.1:1",
       "zone": {"region": "almaty", "data_centre": "alm-north"}}],
  }],
  "withdrawn": [
    "fry-lm"],
}`

// Guards against a note check that stops at the first mistake or misses a semantic rule.
func TestParseNoteReportsEveryMistake(t *testing.T) {
	is := is.New(t)
	_, err := release.ParseNote("note.jsonc", []byte(faulty))
	var list *release.FieldErrors
	is.True(errors.As(err, &list))
	got := map[string]int{}
	for _, m := range list.Mistakes {
		got[m.Field] = m.Line
	}
	is.Equal(fmt.Sprint(got), fmt.Sprint(map[string]int{
		"added[0].colour": 4, "added[0].calls": 5, "added[0].trainers": 6, "added[0].rollout": 3,
		"added[0].backends[0].service": 10, "added[0].backends[0].kind": 10, "withdrawn[0]": 14,
	}))
}

// Guards against a wrong verdict: the type of the refusal tells the operator what to do.
func TestVerdicts(t *testing.T) {
	c, _ := release.Empty().Apply(add("n0", 0, plain("desk"), plain("old")), 0)
	c, _ = c.Apply(&release.Note{ID: "n1", Author: "a", Base: 1, Changed: []contract.Service{plain("desk")}}, 1)
	c, _ = c.Apply(&release.Note{ID: "n2", Author: "a", Base: 2, Withdrawn: []string{"old"}}, 2)
	c, _ = c.Apply(add("n3", 3, sampler("lm", "desk")), 3)
	note := func(base int64, withdrawn string, changed ...contract.Service) *release.Note {
		n := &release.Note{ID: "x", Author: "a", Base: base, Changed: changed}
		if withdrawn != "" {
			n.Withdrawn = []string{withdrawn}
		}
		return n
	}
	for name, test := range map[string]struct {
		note   *release.Note
		code   release.VerdictCode
		object string
		at     int64
	}{
		"stale change":              {note(1, "", plain("desk")), release.Conflict, "desk", 2},
		"stale change of a removed": {note(1, "", plain("old")), release.Conflict, "old", 3},
		"re-add below withdrawal":   {add("x", 2, plain("old")), release.Conflict, "old", 3},
		"racing add":                {add("x", 3, plain("lm")), release.Conflict, "lm", 4},
		"re-add above withdrawal":   {add("x", 3, plain("old")), "", "", 0},
		"change of an unknown":      {note(4, "", plain("none")), release.UnknownObject, "none", 0},
		"withdrawal of an unknown":  {note(4, "none"), release.UnknownObject, "none", 0},
		"add of an existing":        {add("x", 4, plain("desk")), release.ExistsAlready, "desk", 2},
		"base ahead":                {note(5, "", plain("desk")), release.BaseAhead, "", 0},
		"scorer withdrawn":          {note(4, "desk"), release.Invalid, "lm", 4},
		"unknown scorer":            {add("x", 4, sampler("m2", "nobody")), release.Invalid, "m2", 0},
		"invalid note":              {note(4, "", contract.Service{Name: "desk"}), release.Invalid, "", 0},
		"id of another note":        {add("n0", 4, plain("new")), release.IDReused, "", 0},
		"independent object":        {add("x", 0, plain("new")), "", "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			after, v := c.Apply(test.note, 9)
			is.Equal(v.Code, test.code)
			is.Equal(v.Accepted, test.code == "")
			is.Equal(v.Object, test.object)
			is.Equal(v.ObjectRevision, test.at)
			if !v.Accepted {
				is.Equal(len(release.Diff(c, after)), 0)
				is.Equal(after.Revision(), c.Revision())
			}
		})
	}
}

// Guards against a second effect or another verdict when a note is published twice.
func TestSameNoteTwice(t *testing.T) {
	is := is.New(t)
	n := add("n0", 0, plain("desk"))
	c, first := release.Empty().Apply(n, 4)
	is.Equal(first, release.Verdict{Accepted: true, Revision: 5})
	c, _ = c.Apply(&release.Note{ID: "n1", Author: "a", Base: 5, Withdrawn: []string{"desk"}}, 5)
	again, second := c.Apply(n, 6)
	is.Equal(second, first)
	_, exists := again.Service("desk")
	is.True(!exists)
}

// Guards against unbounded state, and against a second effect of a note whose id is forgotten.
func TestFloorBoundsState(t *testing.T) {
	is := is.New(t)
	c := release.Empty()
	first := add("first", 0, plain("first"))
	c, _ = c.Apply(first, 0)
	c, _ = c.Apply(&release.Note{ID: "gone", Author: "a", Base: 1, Withdrawn: []string{"first"}}, 1)
	for i := int64(2); i < release.MaxAccepted+100; i++ {
		n := add(fmt.Sprint("n", i), c.Revision(), plain("s"))
		if i%2 == 1 {
			n = &release.Note{ID: n.ID, Author: "a", Base: c.Revision(), Withdrawn: []string{"s"}}
		}
		var v release.Verdict
		c, v = c.Apply(n, i)
		is.True(v.Accepted)
	}
	data, err := json.Marshal(c)
	is.NoErr(err)
	is.True(len(data) < 160*release.MaxAccepted)
	is.True(c.Floor() > 2)
	after, v := c.Apply(first, 10_000)
	is.Equal(v.Code, release.BaseTooOld)
	_, exists := after.Service("first")
	is.True(!exists)
	for i := int64(0); i < 3*release.MaxRefused; i++ {
		c, _ = c.Apply(add(fmt.Sprint("r", i), 0, plain("q")), 20_000+i)
	}
	full, _ := json.Marshal(c)
	is.True(len(full) < len(data)+300*release.MaxRefused)
}

// Guards against a snapshot that loses part of a catalog.
func TestJSONRoundTrip(t *testing.T) {
	is := is.New(t)
	c, _ := release.Empty().Apply(add("n0", 0, plain("desk"), plain("old")), 0)
	c, _ = c.Apply(&release.Note{ID: "n1", Author: "a", Base: 1, Withdrawn: []string{"old"}}, 1)
	c, _ = c.Apply(add("n2", 0, plain("old")), 2)
	data, err := json.Marshal(c)
	is.NoErr(err)
	var back release.Catalog
	is.NoErr(json.Unmarshal(data, &back))
	second, err := json.Marshal(&back)
	is.NoErr(err)
	is.Equal(string(second), string(data))
	v, ok := back.Verdict("n2")
	is.True(ok)
	is.Equal(v.Code, release.Conflict)
}

// Guards against a diff that misses an operation or names wrong fields.
func TestDiff(t *testing.T) {
	is := is.New(t)
	from, _ := release.Empty().Apply(add("n0", 0, plain("a"), plain("b"), plain("same")), 0)
	b := plain("b")
	b.QueueLimit = 9
	n := &release.Note{
		ID: "n1", Author: "a", Base: 1, Added: []contract.Service{plain("c")},
		Changed: []contract.Service{b, plain("same")}, Withdrawn: []string{"a"},
	}
	to, v := from.Apply(n, 1)
	is.True(v.Accepted)
	is.Equal(fmt.Sprint(release.Diff(from, to)), "[{withdrawn a   } {changed b queue_limit  9} {added c   }]")
	services := []contract.Service{plain("a"), plain("b"), plain("same")}
	is.Equal(release.Diff(from, to), release.DiffNote(services, n))
}

// Guards against a panic on any input, and against an accepted note that the fold then refuses
// as invalid.
func FuzzParseNote(f *testing.F) {
	f.Add([]byte(faulty))
	f.Add([]byte(`{"id":"n","author":"a","base":0,"withdrawn":["x"]}`))
	f.Add([]byte(`[1, // c` + "\n" + `{"a": null}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		n, err := release.ParseNote("fuzz", data)
		var list *release.FieldErrors
		if err != nil && (!errors.As(err, &list) || len(list.Mistakes) == 0) {
			t.Fatalf("untyped error %v", err)
		}
		if err == nil && n.Validate() != nil {
			t.Fatalf("parsed note is invalid: %v", n.Validate())
		}
	})
}
