package instance

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
)

// Guards against requests that arrive while jobs are handed over, too late for their answers before the process ends.
func TestStopTakesNoRequestsWhileJobsAreHandedOver(t *testing.T) {
	is := is.New(t)
	c := newCluster(t, 1, 1)
	c.engines[0].EventInterval = time.Second
	is.Equal(c.call(c.members[0], http.MethodPost, "/jobs/x", "job-1", nil, jobBody(8, 1)).status, http.StatusAccepted)
	c.waitUntil("items run", func() bool { return len(c.engines[0].Runs()) > 0 })
	stopping, stopped, start := c.members[0], make(chan struct{}), time.Now()
	go func() {
		defer close(stopped)
		stopping.Stop(context.Background())
		stopping.kill()
	}()
	time.Sleep(time.Until(start.Add(balancerDelay + 500*time.Millisecond)))
	is.True(stopping.driver.Active() > 0)
	conn, err := net.Dial("tcp", stopping.clientListener.Addr().String())
	if err == nil {
		_ = conn.Close()
		t.Error("the instance accepts connections")
	}
	<-stopped
}
