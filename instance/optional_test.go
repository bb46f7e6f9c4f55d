package instance

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a template that the platform fills in only partly: an empty string means that there is no value.
func TestOptionalSettings(t *testing.T) {
	is := is.New(t)
	with := func(sections string) string { return goodSettings[:len(goodSettings)-1] + sections + "}" }
	s, err := load(t, with(`"duties": {"lease_ms": "3000", "fences_enforced": "false"}, "accounts": {"strict_revocation": "", "revocation_ms": 5000},
		"platform_api": {"addr": "", "calls_per_s": "", "duties": ""}, "usage": {"window_s": null},`))
	is.NoErr(err)
	is.Equal(s.Duties.LeaseMs, Number{Value: 3000, Set: true})
	is.Equal(s.Duties.FencesEnforced, Flag{Set: true})
	is.Equal(s.Accounts.StrictRevocation, Flag{})
	is.Equal(s.Accounts.RevocationMs.Or(1), 5000.0)
	is.Equal(s.PlatformAPI.CallsPerS.Or(7), 7.0)
	is.Equal(s.Usage.WindowS, Number{})
	for _, mistake := range []string{`"duties": {"lease_ms": "soon"},`, `"duties": {"fences_enforced": "perhaps"},`, `"platform_api": {"addr": "nowhere"},`} {
		_, err := load(t, with(mistake))
		is.True(err != nil) // mistake
	}
}
