package crowd

import (
	"net/http"
	"testing"
)

// A crowd whose requests are whole and leave something behind in the process.
const (
	wholeRequests = 30
	jobBytes      = 8 << 20
)

// checkWhole sends requests one after the other, each until it is accepted or refused, and then the ordinary one.
func checkWhole(t *testing.T, tg *target, send func(n int) (int, error)) {
	stopWatch, most := watchDescriptors(tg.process)
	statuses := map[int]int{}
	for n := range wholeRequests {
		status, err := send(n)
		if err != nil {
			t.Logf("request %d: %v", n, err) // closed, which is allowed
		}
		statuses[status]++
	}
	t.Logf("requests by status: %v", statuses)
	await(t, tg.process, "an ordinary request is answered after the crowd", func() bool { return tg.ordinary() == nil })
	stopWatch()
	if !tg.lives() {
		t.Fatalf("the process has ended\n%s", tg.tail())
	}
	tg.checkLimits(t, *most, bodyFDs)
}

// Guards against steps that stay open and take the memory with their prompts.
func TestWholeStepsAtTheOwnCallersPort(t *testing.T) {
	tg := startOwnSmall(t)
	body := openStep(stepBytes)
	checkWhole(t, tg, func(n int) (int, error) {
		return sendBody(http.MethodPut, "http://"+tg.ports["http"]+stepPath(int64(n)), body, true)
	})
}

// Guards against batch jobs that stay open and take the memory with their items.
func TestWholeJobsAtTheClientsPort(t *testing.T) {
	tg := hostedUnder(largeLimit)(t)
	body := batchJob(jobBytes)
	checkWhole(t, tg, func(int) (int, error) {
		return sendBody(http.MethodPost, "http://"+tg.ports["clients"]+"/jobs/x", body, true)
	})
}
