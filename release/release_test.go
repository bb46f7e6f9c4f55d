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

func plainService(name string) contract.Service {
	return contract.Service{
		Name: name, Kind: machine.Plain,
		Calls: []contract.Call{{Name: "book", Priority: contract.Staff}},
	}
}

func samplerService(name, scorer string) contract.Service {
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

func addNote(id string, base int64, services ...contract.Service) *release.Note {
	return &release.Note{ID: id, Author: "a", Base: base, Added: services}
}

const faultyNote = `{
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

// Guards against a parser that stops at the first mistake in a note or omits a semantic check.
func TestParseNoteReportsEveryMistake(t *testing.T) {
	is := is.New(t)
	_, err := release.ParseNote("note.jsonc", []byte(faultyNote))
	var errs *release.FieldErrors
	is.True(errors.As(err, &errs))
	got := map[string]int{}
	for _, m := range errs.Mistakes {
		got[m.Field] = m.Line
	}
	is.Equal(fmt.Sprint(got), fmt.Sprint(map[string]int{
		"added[0].colour": 4, "added[0].calls": 5, "added[0].trainers": 6, "added[0].rollout": 3,
		"added[0].backends[0].service": 10, "added[0].backends[0].kind": 10, "withdrawn[0]": 14,
	}))
}

// Guards against a refusal with the wrong code: the code tells the operator how to correct the note.
func TestVerdicts(t *testing.T) {
	c, _ := release.Empty().Apply(addNote("n0", 0, plainService("desk"), plainService("old")), 0)
	c, _ = c.Apply(&release.Note{ID: "n1", Author: "a", Base: 1, Changed: []contract.Service{plainService("desk")}}, 1)
	c, _ = c.Apply(&release.Note{ID: "n2", Author: "a", Base: 2, Withdrawn: []string{"old"}}, 2)
	c, _ = c.Apply(addNote("n3", 3, samplerService("lm", "desk")), 3)
	note := func(base int64, withdrawn string, changed ...contract.Service) *release.Note {
		n := &release.Note{ID: "x", Author: "a", Base: base, Changed: changed}
		if withdrawn != "" {
			n.Withdrawn = []string{withdrawn}
		}
		return n
	}
	for name, test := range map[string]struct {
		note           *release.Note
		code           release.VerdictCode
		object         string
		objectRevision int64
	}{
		"stale change":              {note(1, "", plainService("desk")), release.Conflict, "desk", 2},
		"stale change of a removed": {note(1, "", plainService("old")), release.Conflict, "old", 3},
		"re-add below withdrawal":   {addNote("x", 2, plainService("old")), release.Conflict, "old", 3},
		"racing add":                {addNote("x", 3, plainService("lm")), release.Conflict, "lm", 4},
		"re-add above withdrawal":   {addNote("x", 3, plainService("old")), "", "", 0},
		"change of an unknown":      {note(4, "", plainService("none")), release.UnknownObject, "none", 0},
		"withdrawal of an unknown":  {note(4, "none"), release.UnknownObject, "none", 0},
		"add of an existing":        {addNote("x", 4, plainService("desk")), release.AlreadyExists, "desk", 2},
		"base ahead":                {note(5, "", plainService("desk")), release.BaseAhead, "", 0},
		"scorer withdrawn":          {note(4, "desk"), release.Invalid, "lm", 4},
		"unknown scorer":            {addNote("x", 4, samplerService("m2", "nobody")), release.Invalid, "m2", 0},
		"invalid note":              {note(4, "", contract.Service{Name: "desk"}), release.Invalid, "", 0},
		"id of another note":        {addNote("n0", 4, plainService("new")), release.IDReused, "", 0},
		"independent object":        {addNote("x", 0, plainService("new")), "", "", 0},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			after, v := c.Apply(test.note, 9)
			is.Equal(v.Code, test.code)
			is.Equal(v.Accepted, test.code == "")
			is.Equal(v.Object, test.object)
			is.Equal(v.ObjectRevision, test.objectRevision)
			if !v.Accepted {
				is.Equal(len(release.Diff(c, after)), 0)
				is.Equal(after.Revision(), c.Revision())
			}
		})
	}
}

// Guards against a note that takes effect twice, or gets a different verdict, when it is published
// twice.
func TestSameNoteTwice(t *testing.T) {
	is := is.New(t)
	n := addNote("n0", 0, plainService("desk"))
	c, first := release.Empty().Apply(n, 4)
	is.Equal(first, release.Verdict{Accepted: true, Revision: 5})
	c, _ = c.Apply(&release.Note{ID: "n1", Author: "a", Base: 5, Withdrawn: []string{"desk"}}, 5)
	again, second := c.Apply(n, 6)
	is.Equal(second, first)
	_, exists := again.Service("desk")
	is.True(!exists)
}

// Guards against a catalog that grows without bound, and against a second effect of a note whose id
// has been discarded.
func TestFloorBoundsState(t *testing.T) {
	is := is.New(t)
	c := release.Empty()
	first := addNote("first", 0, plainService("first"))
	c, _ = c.Apply(first, 0)
	c, _ = c.Apply(&release.Note{ID: "gone", Author: "a", Base: 1, Withdrawn: []string{"first"}}, 1)
	for i := int64(2); i < release.MaxAcceptedNotes+100; i++ {
		n := addNote(fmt.Sprint("n", i), c.Revision(), plainService("s"))
		if i%2 == 1 {
			n = &release.Note{ID: n.ID, Author: "a", Base: c.Revision(), Withdrawn: []string{"s"}}
		}
		var v release.Verdict
		c, v = c.Apply(n, i)
		is.True(v.Accepted)
	}
	data, err := json.Marshal(c)
	is.NoErr(err)
	is.True(len(data) < 160*release.MaxAcceptedNotes)
	is.True(c.Floor() > 2)
	after, v := c.Apply(first, 10_000)
	is.Equal(v.Code, release.BaseTooOld)
	_, exists := after.Service("first")
	is.True(!exists)
	for i := int64(0); i < 3*release.MaxRefusedNotes; i++ {
		c, _ = c.Apply(addNote(fmt.Sprint("r", i), 0, plainService("q")), 20_000+i)
	}
	full, _ := json.Marshal(c)
	is.True(len(full) < len(data)+300*release.MaxRefusedNotes)
}

// Guards against a JSON encoding, as used in snapshots, that loses part of a catalog.
func TestJSONRoundTrip(t *testing.T) {
	is := is.New(t)
	c, _ := release.Empty().Apply(addNote("n0", 0, plainService("desk"), plainService("old")), 0)
	c, _ = c.Apply(&release.Note{ID: "n1", Author: "a", Base: 1, Withdrawn: []string{"old"}}, 1)
	c, _ = c.Apply(addNote("n2", 0, plainService("old")), 2)
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

// Guards against a diff that omits a kind of change or reports the wrong fields.
func TestDiff(t *testing.T) {
	is := is.New(t)
	from, _ := release.Empty().Apply(addNote("n0", 0, plainService("a"), plainService("b"), plainService("same")), 0)
	b := plainService("b")
	b.QueueLimit = 9
	n := &release.Note{
		ID: "n1", Author: "a", Base: 1, Added: []contract.Service{plainService("c")},
		Changed: []contract.Service{b, plainService("same")}, Withdrawn: []string{"a"},
	}
	to, v := from.Apply(n, 1)
	is.True(v.Accepted)
	is.Equal(fmt.Sprint(release.Diff(from, to)), "[{withdrawn a   } {changed b queue_limit  9} {added c   }]")
	services := []contract.Service{plainService("a"), plainService("b"), plainService("same")}
	is.Equal(release.Diff(from, to), release.DiffNote(services, n))
}

// Guards against a panic or an untyped error on any input, and against a note that parses without
// errors and that the catalog then refuses as invalid.
func FuzzParseNote(f *testing.F) {
	f.Add([]byte(faultyNote))
	f.Add([]byte(`{"id":"n","author":"a","base":0,"withdrawn":["x"]}`))
	f.Add([]byte(`[1, // c` + "\n" + `{"a": null}]`))
	f.Fuzz(func(t *testing.T, data []byte) {
		n, err := release.ParseNote("fuzz", data)
		var errs *release.FieldErrors
		if err != nil && (!errors.As(err, &errs) || len(errs.Mistakes) == 0) {
			t.Fatalf("untyped error %v", err)
		}
		if err == nil && n.Validate() != nil {
			t.Fatalf("parsed note is invalid: %v", n.Validate())
		}
	})
}
