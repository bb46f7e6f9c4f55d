package account

import (
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against each wrong decision on its own: a revoked key that runs on a stale copy, a copy that is late by a second and refuses,
// a 401 from a stale copy, and a second key that is ignored.
func TestDecisions(t *testing.T) {
	d, _ := NewDirectory([]Entry{{Account{Name: "a"}, []string{"k"}}})
	const revocation = 5 * time.Second
	bound := ProofBound(revocation)
	for name, tc := range map[string]struct {
		keys   []string
		public bool
		proof  Proof
		want   Outcome
	}{
		"known key":                 {[]string{"k"}, false, Proof{Bound: bound}, Allowed},
		"copy late by 3 s":          {[]string{"k"}, false, Proof{Age: 4 * time.Second, Bound: bound}, Allowed},
		"copy of the bound's age":   {[]string{"k"}, false, Proof{Age: bound, Bound: bound}, Stale},
		"copy of the revocation":    {[]string{"k"}, false, Proof{Age: revocation, Bound: bound}, Stale},
		"copy never read":           {[]string{"k"}, false, Proof{Age: math.MaxInt64, Bound: bound}, Stale},
		"no proof needed":           {[]string{"k"}, false, Proof{Age: math.MaxInt64}, Allowed},
		"unknown key":               {[]string{"x"}, false, Proof{Bound: bound}, Unknown},
		"unknown key on stale copy": {[]string{"x"}, false, Proof{Age: bound, Bound: bound}, Stale},
		"no key":                    {nil, false, Proof{Bound: bound}, Unknown},
		"empty key":                 {[]string{""}, false, Proof{Bound: bound}, Unknown},
		"two keys":                  {[]string{"k", "k"}, false, Proof{Bound: bound}, Malformed},
		"public":                    {nil, true, Proof{Age: bound, Bound: bound}, Public},
		"public with two keys":      {[]string{"k", "x"}, true, Proof{Bound: bound}, Public},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			got, a := d.Decide(Credentials{Keys: tc.keys, Public: tc.public}, tc.proof)
			is.Equal(got, tc.want)
			is.Equal(a != nil, tc.want == Allowed)
		})
	}
	is.New(t).True(bound < revocation && bound > 4*time.Second)
}
