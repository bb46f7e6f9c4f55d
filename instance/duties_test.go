package instance

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/duty"
)

// Guards against deployments that do not state how tokens are judged and get other duties than before, and against a deployment
// without checked tokens that is not protected.
func TestDutyRules(t *testing.T) {
	is := is.New(t)
	number := func(v float64) Number { return Number{Value: v, Set: true} }
	is.Equal(DutySettings{}.dutyRules(), duty.Rules{})
	is.Equal(DutySettings{LeaseMs: number(3000), FencesEnforced: Flag{Value: true, Set: true}}.dutyRules(), duty.Rules{MinTurn: 3 * time.Second})
	is.Equal(DutySettings{LeaseMs: number(2000), FencesEnforced: Flag{Set: true}}.dutyRules(), duty.Rules{MinTurn: 2 * time.Second, Unfenced: true})
	is.Equal(DutySettings{FencesEnforced: Flag{Set: true}}.dutyRules(), duty.Rules{MinTurn: defaultLease, Unfenced: true})
}
