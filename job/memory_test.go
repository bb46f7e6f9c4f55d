package job

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/changelog"
	"github.com/cicadasill/cicadasill/telemetry"
)

// heapInUse returns the bytes of reachable objects.
func heapInUse() int64 {
	runtime.GC()
	var stats runtime.MemStats
	runtime.ReadMemStats(&stats)
	return int64(stats.HeapAlloc)
}

// Guards against instances that hold the items of large jobs decoded, which takes several times their size.
func TestItemsTakeLittleMoreThanTheirRecords(t *testing.T) {
	is := is.New(t)
	const items, bodyBytes = 20_000, 100
	// list returns the records anew each time, because the state may keep their values.
	list := func() (records []changelog.Record, size int64) {
		var spec []Item
		for i := range items {
			spec = append(spec, Item{
				ID: fmt.Sprint("item-", i), Path: fmt.Sprint("/p/", i), Headers: map[string]string{"X-Model": "m"}, Model: "m",
				Body: make([]byte, bodyBytes), Group: fmt.Sprint(i / 8),
			})
		}
		records, err := itemRecords("job-1", spec, changelog.DefaultLimits)
		is.NoErr(err)
		for _, r := range records {
			size += int64(len(r.Value))
		}
		return records, size
	}
	state := newPartitionState(telemetry.Discard(), newGapCounter(nil), &copyBudget{}, &copyBudget{})
	before := heapInUse()
	records, size := list()
	for _, r := range records {
		state.Apply(r)
	}
	records = nil
	used := heapInUse() - before
	t.Logf("%d items, %d bytes of records, %d bytes of state", items, size, used)
	is.Equal(state.jobs["job-1"].itemCount(), items)
	is.True(used < 3*size/2)
}
