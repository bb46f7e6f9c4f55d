package crowd

import (
	"net/http"
	"sync"
	"testing"
)

// Guards against bounds that hold one by one and whose sum exceeds the machine: unfinished heads, bodies of all kinds, batch jobs and
// unread answers at once.
func TestAllCrowdsAtTheClientsPort(t *testing.T) {
	tg := startHostedWith(t, hostedOptions{maxFDs: bodyFDs, maxBodyBytes: largeLimit, idleTimeoutMs: stallTimeoutMs, answerBytes: answerBytes})
	stopWatch, most := watchDescriptors(tg.process)
	addr := tg.ports["clients"]
	var (
		wg      sync.WaitGroup
		mu      sync.Mutex
		closers []func()
	)
	start := func(send func() func()) {
		wg.Go(func() {
			closeConns := send()
			mu.Lock()
			defer mu.Unlock()
			closers = append(closers, closeConns)
		})
	}
	for _, f := range framings {
		start(func() func() {
			return bodies{conns: fewBodies, head: hostedHead("/plain/x"), body: filler, largest: smallLimit, sizes: manySizes}.send(addr, f)
		})
		start(func() func() {
			return bodies{conns: fewBodies, head: hostedHead("/jobs/x"), body: batchJob, largest: smallLimit, sizes: 1}.send(addr, f)
		})
	}
	for _, c := range crowds {
		if c.conns == crowdConns {
			start(func() func() { return c.run(addr) })
		}
	}
	start(func() func() { return requestAnswers(addr) })
	start(func() func() {
		body := batchJob(jobBytes)
		for range wholeRequests {
			_, _ = sendBody(http.MethodPost, "http://"+addr+"/jobs/x", body, true) // refused if this fails
		}
		return func() {}
	})
	wg.Wait()
	defer func() {
		for _, closeConns := range closers {
			closeConns()
		}
	}()
	await(t, tg.process, "ordinary requests are answered while the crowds stay", func() bool { return tg.ordinary() == nil && plainCall(tg) == nil })
	stopWatch()
	if !tg.lives() {
		t.Fatalf("the process has ended\n%s", tg.tail())
	}
	tg.checkLimits(t, *most, bodyFDs)
}
