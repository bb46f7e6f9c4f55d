package store_test

import (
	"io"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/standin/logserver"
	"github.com/cicadasill/cicadasill/standin/store"
)

func fetch(addr string, onRead func(n int)) (int, error) {
	req, err := http.NewRequest(http.MethodGet, "http://"+addr+"/v1/weights/m/3", nil)
	if err != nil {
		return 0, err
	}
	req.Header.Set(store.HeaderZone, "almaty/alm-north")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	total, buf := 0, make([]byte, 64<<10)
	for {
		n, err := resp.Body.Read(buf)
		total += n
		if err == io.EOF {
			return total, nil
		}
		if err != nil {
			return total, err
		}
		onRead(total)
	}
}

// Guards against an outage during which transfers in progress complete, and against transfers
// that are not recorded.
func TestOutageAbortsTransfersAndAllAreRecorded(t *testing.T) {
	is := is.New(t)
	s, err := store.Start(store.Options{WeightBytes: 4 << 20, Rate: 64 << 20})
	is.NoErr(err)
	defer s.Close()
	n, err := fetch(s.Addr(), func(int) {})
	is.NoErr(err)
	is.Equal(n, 4<<20)
	n, err = fetch(s.Addr(), func(int) { s.SetDown(true) })
	is.True(err != nil)
	is.True(n < 4<<20)
	s.Close()
	transfers := s.Transfers()
	is.Equal(len(transfers), 2)
	is.True(transfers[0].Complete && !transfers[1].Complete)
	is.Equal(transfers[0].Zone, "almaty/alm-north")
	is.Equal(transfers[0].Version, "3")
}

// Guards against a log that retains more records than RetainCount, or changes their offsets.
func TestLogRetentionByCount(t *testing.T) {
	is := is.New(t)
	s, err := logserver.Start(logserver.Options{RetainCount: 2})
	is.NoErr(err)
	defer s.Close()
	for range 5 {
		resp, err := http.Post("http://"+s.Addr()+"/v1/streams/control/records", "", nil)
		is.NoErr(err)
		_ = resp.Body.Close()
	}
	kept := s.Records("control")
	is.Equal(len(kept), 2)
	is.Equal(kept[0].Offset, int64(3))
	is.Equal(s.Streams()["control"], int64(5))
}
