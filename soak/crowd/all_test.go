package crowd

import (
	"net/http"
	"sync"
	"testing"
)

// crowdsAtOnce runs several crowds at the same time.
type crowdsAtOnce struct {
	wg      sync.WaitGroup
	mu      sync.Mutex
	closers []func()
}

// start runs a crowd. send returns a function that closes its connections.
func (c *crowdsAtOnce) start(send func() func()) {
	c.wg.Go(func() {
		closeConns := send()
		c.mu.Lock()
		defer c.mu.Unlock()
		c.closers = append(c.closers, closeConns)
	})
}

// startHeads runs the crowds of heads.
func (c *crowdsAtOnce) startHeads(addr string) {
	for _, heads := range crowds {
		if heads.conns == crowdConns {
			c.start(func() func() { return heads.run(addr) })
		}
	}
}

// check waits until all have sent everything or were refused, and makes the ordinary requests while they stay.
func (c *crowdsAtOnce) check(t *testing.T, tg *target, ordinary ...func(*target) error) {
	stopWatch, most := watchDescriptors(tg.process)
	c.wg.Wait()
	defer func() {
		for _, closeConns := range c.closers {
			closeConns()
		}
	}()
	await(t, tg.process, "ordinary requests are answered while the crowds stay", func() bool {
		answered := tg.ordinary() == nil
		for _, request := range ordinary {
			answered = answered && request(tg) == nil
		}
		return answered
	})
	stopWatch()
	if !tg.lives() {
		t.Fatalf("the process has ended\n%s", tg.tail())
	}
	tg.checkLimits(t, *most, bodyFDs)
}

// Guards against bounds that hold one by one and whose sum exceeds the machine: unfinished heads, bodies of all kinds, batch jobs and
// unread answers at once.
func TestAllCrowdsAtTheClientsPort(t *testing.T) {
	tg := startHostedWith(t, hostedOptions{maxFDs: bodyFDs, maxBodyBytes: largeLimit, idleTimeoutMs: stallTimeoutMs, answerBytes: answerBytes})
	addr := tg.ports["clients"]
	all := &crowdsAtOnce{}
	for _, f := range framings {
		all.start(func() func() {
			return bodies{conns: fewBodies, head: hostedHead("/plain/x"), body: filler, largest: smallLimit, sizes: manySizes}.send(addr, f)
		})
		all.start(func() func() {
			return bodies{conns: fewBodies, head: hostedHead("/jobs/x"), body: batchJob, largest: smallLimit, sizes: 1}.send(addr, f)
		})
	}
	all.startHeads(addr)
	all.start(func() func() { return requestAnswers(addr) })
	all.start(func() func() {
		body := batchJob(jobBytes)
		for range wholeRequests {
			_, _ = sendBody(http.MethodPost, "http://"+addr+"/jobs/x", body, true) // refused if this fails
		}
		return func() {}
	})
	all.check(t, tg, plainCall)
}

// Guards against the same at the system's own interface: callers, trainers, operators and peers at once.
func TestAllCrowdsAtTheOwnPorts(t *testing.T) {
	tg := startOwnSmall(t)
	all := &crowdsAtOnce{}
	for _, f := range framings {
		all.start(func() func() {
			return bodies{conns: fewBodies, head: ownCallHead, body: filler, largest: smallLimit, sizes: manySizes}.send(tg.ports["http"], f)
		})
		all.start(func() func() {
			return bodies{conns: fewBodies / completeDivisor, head: ownStepHead, body: openStep, largest: stepBytes, sizes: 1}.send(tg.ports["http"], f)
		})
		all.start(func() func() {
			return bodies{conns: fewBodies / completeDivisor, head: ownNoteHead, body: releaseNote, largest: noteBytes, sizes: 1}.send(tg.ports["admin"], f)
		})
	}
	for _, port := range []string{"http", "admin", "peer"} {
		all.startHeads(tg.ports[port])
	}
	all.start(func() func() {
		body := openStep(stepBytes)
		for n := range wholeRequests {
			_, _ = sendBody(http.MethodPut, "http://"+tg.ports["http"]+stepPath(int64(1000+n)), body, true) // refused if this fails
		}
		return func() {}
	})
	all.check(t, tg, ownCall)
}
