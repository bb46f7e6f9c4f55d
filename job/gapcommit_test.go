package job

import (
	"testing"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/changelog"
	"github.com/cicadasill/cicadasill/changelog/logtest"
)

// Guards against an item with two listed results, because a copy with a gap does not know that the item's result is listed after
// the gap.
func TestResultAfterAGapIsNotListedAgain(t *testing.T) {
	is := is.New(t)
	g := testRegistry(logtest.New(1))
	p := g.partitions[0]
	after, _, err := resultRecords("job-1", 1, []Result{{Item: "b", State: Complete}}, changelog.DefaultLimits)
	is.NoErr(err)
	p.View(func() { p.state.Apply(after[0]) }) // position 0 is missing
	var records []changelog.Record
	p.View(func() {
		records = g.newResultRecords(p, map[ID][]Result{"job-1": {{Item: "b", State: Complete}}})
	})
	is.Equal(len(records), 0) // listed
}
