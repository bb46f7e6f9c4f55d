package job

import (
	"errors"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/changelog"
)

// Guards against an accepted job that passes for one that does not exist, because its record in the index cannot be decoded.
func TestJobWithAnUnreadableRecordIsNotAbsent(t *testing.T) {
	is := is.New(t)
	f := newReadFixture(t)
	index := changelog.Partition{Topic: indexTopic}
	_, err := f.log.Append(t.Context(), index, []changelog.Record{{Key: string(fixtureJob), Value: []byte("\xff")}}, changelog.Unconditional)
	is.NoErr(err)
	_, err = f.Results(t.Context(), fixtureJob, 0, 0)
	is.True(err != nil)
	var notFound *NotFoundError
	is.True(!errors.As(err, &notFound)) // the log holds a record of the job
}
