package job

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/charmbracelet/log"
	"github.com/fxamacker/cbor/v2"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/timing"
)

// ReadMethod is the name under which instances call each other's HandleRead.
const ReadMethod = "job_read"

const (
	// ownReadTime is how long a read waits for the store alone. It is over half of storeTimeout, so that a call that has gone
	// silent may be noticed, and leaves time for a call to another instance.
	ownReadTime = 700 * time.Millisecond
	// repeatTime is how long a read repeats calls to the store that fail at once, as when one page of many is refused.
	repeatTime = 500 * time.Millisecond
	// maxHolders bounds the instances that a read asks. holderDelay is how long it waits for one before it also asks the
	// next, so that all are asked in the time that is left after ownReadTime.
	maxHolders = 3
	// askDriverTime is how long a read waits for the job's driver before it reads items from the store.
	askDriverTime = 300 * time.Millisecond
	holderDelay   = 150 * time.Millisecond
	// peerReadLogRate bounds the log lines about reads that other instances have answered, in lines a second.
	peerReadLogRate = 10
)

// Holders gives access to the other instances' copies of data partitions. What a copy holds is listed and stays as it is, so it
// may be old. What it does not hold may exist.
type Holders struct {
	// Possible returns the other instances that may be live, the nearest first.
	Possible func() []machine.Instance
	// Ask passes a request to HandleRead of an instance. It may outlast ctx.
	Ask func(ctx context.Context, to machine.Instance, request []byte) ([]byte, error)
}

// copyRequest asks for what a copy holds of a job: the body of an item, or results if no item is named.
type copyRequest struct {
	Job       ID     `cbor:"1,keyasint"`
	Partition int    `cbor:"2,keyasint"`
	After     int    `cbor:"3,keyasint"`
	Item      string `cbor:"4,keyasint"`
}

// copyContent is what a copy holds. If Found is false, that says nothing about the job.
type copyContent struct {
	Found   bool     `cbor:"1,keyasint"`
	Results []Result `cbor:"2,keyasint"`
	Body    []byte   `cbor:"3,keyasint"`
	// Total is the number of the job's items.
	Total int `cbor:"4,keyasint"`
}

// copyRequestError reports a request for a partition or position that does not exist.
type copyRequestError struct{ Partition, After int }

// Error implements error.
func (e *copyRequestError) Error() string {
	return fmt.Sprintf("no position %d in data partition number %d", e.After, e.Partition)
}

// HandleRead handles ReadMethod: it returns what this instance's copies hold of a job, at once and without reading the store.
func (g *Registry) HandleRead(_ context.Context, payload []byte) ([]byte, error) {
	var request copyRequest
	if err := cbor.Unmarshal(payload, &request); err != nil {
		return nil, fmt.Errorf("decode read of a copy: %w", err)
	}
	if request.Partition < 0 || request.Partition >= len(g.partitions) || request.After < 0 {
		return nil, &copyRequestError{Partition: request.Partition, After: request.After}
	}
	content := g.content(&request)
	return cbor.Marshal(&content)
}

// content returns what this instance's copies of the index and of a partition hold.
func (g *Registry) content(request *copyRequest) copyContent {
	s, known := g.Summary(request.Job)
	if !known {
		return copyContent{}
	}
	p := g.partitions[request.Partition]
	if request.Item != "" {
		body, found := g.ownBody(p, request.Job, request.Item)
		return copyContent{Found: found, Body: body, Total: s.Total}
	}
	results, _ := p.results(request.Job, request.After)
	return copyContent{Found: len(results) > 0, Results: results, Total: s.Total}
}

// peerReadLog logs and counts reads that other instances were asked for.
type peerReadLog struct {
	logger  *log.Logger
	reads   *prometheus.CounterVec
	limiter *rate.Limiter
}

// newPeerReadLog returns a peerReadLog. registerer may be nil.
func newPeerReadLog(logger *log.Logger, registerer prometheus.Registerer) *peerReadLog {
	l := &peerReadLog{
		logger: logger, limiter: rate.NewLimiter(peerReadLogRate, peerReadLogRate),
		reads: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cicadasill_job_reads_by_peers_total",
			Help: "Reads of jobs for which other instances were asked because the store did not answer, by the call and whether one held the answer."},
			[]string{"call", "found"}),
	}
	if registerer != nil {
		registerer.MustRegister(l.reads)
	}
	return l
}

// holderAnswers is what became of the question to other instances. Its zero value means that none was asked.
type holderAnswers struct {
	content copyContent
	asked   int
	err     error // of the calls that failed
}

// page returns the results that were found.
func (a *holderAnswers) page() Page { return Page{Total: a.content.Total, Results: a.content.Results} }

// syncIndexOrAsk waits until the copy of the index is current, or asks other instances as syncOrAsk does.
func (r *jobRead) syncIndexOrAsk(ctx context.Context) (holderAnswers, error) {
	return r.syncOrAsk(ctx, &Summary{Partition: r.partitionOf(r.id)}, r.indexReplica.Sync)
}

// syncPartitionOrAsk waits until the copy of the job's partition is current, or asks other instances as syncOrAsk does. An error
// says that the own copy may be old or lacks records.
func (r *jobRead) syncPartitionOrAsk(ctx context.Context, s *Summary) (holderAnswers, error) {
	if r.answered {
		r.unansweredSince = time.Now()
	}
	answers, err := r.syncOrAsk(ctx, s, func(ctx context.Context) error {
		if err := r.partitions[s.Partition].Sync(ctx); err != nil {
			return err
		}
		return r.checkCopy(ctx, s)
	})
	r.answered = err == nil
	return answers, err
}

// syncOrAsk calls sync, which reads from the store, and again if it fails within repeatTime. After the first failure, or if the
// store has not answered this call for ownReadTime, it also asks other instances, and returns as soon as one of them or this
// instance's own copy holds what the call wants.
func (r *jobRead) syncOrAsk(ctx context.Context, s *Summary, sync func(context.Context) error) (holderAnswers, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	asked := make(chan holderAnswers, 1)
	ask := func() {
		a := r.ask(ctx, s)
		asked <- a
		if a.content.Found {
			cancel()
		}
	}
	timer := time.AfterFunc(time.Until(r.unansweredSince.Add(ownReadTime)), ask)
	err := sync(ctx)
	if err != nil && timer.Stop() {
		go ask()
	}
	for err != nil && time.Since(r.start) < repeatTime && timing.Sleep(ctx, resultPollInterval) {
		err = sync(ctx)
	}
	if err == nil {
		timer.Stop()
		return holderAnswers{}, nil
	}
	return <-asked, err
}

// ask returns what this instance's copy holds, or the first answer of another instance that holds what the call wants. A
// read asks others when the store first fails and when its wait is over, but not in between.
func (r *jobRead) ask(ctx context.Context, s *Summary) holderAnswers {
	request := &copyRequest{Job: r.id, Partition: s.Partition, After: r.after, Item: r.item}
	if own := r.content(request); own.Found {
		return holderAnswers{content: own}
	}
	if r.opts.Holders == nil || r.call == callEnd || ctx.Err() != nil || (r.hasAsked.Swap(true) && time.Now().Before(r.waitEnd)) {
		return holderAnswers{}
	}
	payload, err := cbor.Marshal(request)
	if err != nil {
		return holderAnswers{err: err}
	}
	answers := r.askAll(ctx, r.holders(s.Driver), payload)
	r.peerReads.reads.WithLabelValues(string(r.call), fmt.Sprint(answers.content.Found)).Inc()
	return answers
}

// askDriver returns what the driver of the job holds, within askDriverTime. Nothing is found if that is this instance or does not answer.
func (r *jobRead) askDriver(ctx context.Context, s *Summary) copyContent {
	if r.opts.Holders == nil || s.Driver == r.opts.Self {
		return copyContent{}
	}
	payload, err := cbor.Marshal(&copyRequest{Job: r.id, Partition: s.Partition, Item: r.item})
	if err != nil {
		r.log.Error("read of a copy not encoded", "job", r.id, "err", err)
		return copyContent{}
	}
	ctx, cancel := context.WithTimeout(ctx, askDriverTime)
	defer cancel()
	for _, i := range r.opts.Holders.Possible() {
		if i.Ref() == s.Driver {
			return r.askAll(ctx, []machine.Instance{i}, payload).content
		}
	}
	return copyContent{}
}

// holders returns the instances that are most likely to hold a copy of the job's partition: its driver, then the nearest ones.
func (r *jobRead) holders(driver machine.Ref) []machine.Instance {
	var holders []machine.Instance
	possible := r.opts.Holders.Possible()
	for _, i := range possible {
		if i.Ref() == driver {
			holders = append(holders, i)
		}
	}
	for _, i := range possible {
		if i.Ref() != driver && len(holders) < maxHolders {
			holders = append(holders, i)
		}
	}
	return holders
}

// holderAnswer is the answer of one instance.
type holderAnswer struct {
	from    machine.Instance
	content copyContent
	err     error
}

// askAll asks instances one after the other, each holderDelay after the one before or once that has no answer. It returns with
// the first one that holds what is asked for, and when ctx ends.
func (r *jobRead) askAll(ctx context.Context, holders []machine.Instance, payload []byte) holderAnswers {
	var all holderAnswers
	received := make(chan holderAnswer, len(holders))
	for pending := 0; len(holders) > 0 || pending > 0; {
		var next <-chan time.Time
		if len(holders) > 0 {
			to := holders[0]
			go func() { received <- r.askOne(ctx, to, payload) }() // not awaited, because Ask may outlast ctx
			holders = holders[1:]
			pending++
			all.asked++
			next = time.After(holderDelay)
		}
		select {
		case a := <-received:
			pending--
			if a.content.Found {
				r.logAnswer(a.from)
				all.content = a.content
				return all
			}
			all.err = errors.Join(all.err, a.err)
		case <-next:
		case <-ctx.Done():
			all.err = errors.Join(all.err, ctx.Err())
			return all
		}
	}
	return all
}

// askOne asks an instance.
func (r *jobRead) askOne(ctx context.Context, to machine.Instance, payload []byte) holderAnswer {
	a := holderAnswer{from: to}
	data, err := r.opts.Holders.Ask(ctx, to, payload)
	if err == nil {
		err = cbor.Unmarshal(data, &a.content)
	}
	if err != nil {
		a.content, a.err = copyContent{}, fmt.Errorf("copy of %s: %w", to.Ref(), err)
	}
	return a
}

// logAnswer logs that another instance has answered, unless peerReadLogRate is exceeded.
func (r *jobRead) logAnswer(from machine.Instance) {
	if r.peerReads.limiter.Allow() {
		r.peerReads.logger.Info("read of a job answered by another instance", "call", r.call, "job", r.id, "item", r.item, "peer", from.Ref().String(),
			"after", r.after, "took", time.Since(r.start))
	}
}
