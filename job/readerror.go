package job

import (
	"errors"
	"fmt"
	"time"

	"github.com/charmbracelet/log"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/time/rate"

	"github.com/cicadasill/cicadasill/changelog"
)

// ReadStep is a step of a read or an end of a job.
type ReadStep string

// Steps at which a read or an end of a job may fail.
const (
	// StepIndex is the read of the job index, for a job that this instance does not know yet.
	StepIndex ReadStep = "index"
	// StepLoad is the first read of the job's partition, which reads the newest record of each key.
	StepLoad ReadStep = "partition_load"
	// StepRead is the read of the records that are new in the job's partition.
	StepRead ReadStep = "partition_read"
	// StepIncomplete is the check of the copy of the job's partition after a successful read: it lacks records that the index
	// proves to exist.
	StepIncomplete ReadStep = "incomplete_copy"
	// StepWait is the wait for results while the store answers. It fails if the client leaves or the instance stops.
	StepWait ReadStep = "wait"
	// StepNotFound is the search of the job in the index, after a successful read of it.
	StepNotFound ReadStep = "not_found"
	// StepItemNotFound is the search of the item in the job's partition, after a successful read of it.
	StepItemNotFound ReadStep = "item_not_found"
	// StepWrite is the write of an end to the index.
	StepWrite ReadStep = "index_write"
)

// readSteps lists all steps.
var readSteps = []ReadStep{StepIndex, StepLoad, StepRead, StepIncomplete, StepWait, StepNotFound, StepItemNotFound, StepWrite}

// ReadError reports the step at which a read or an end of a job failed, and what this instance's copy held then.
type ReadError struct {
	Step ReadStep
	Job  ID
	Item string // of a read of a body
	// Partition is the partition of the step. Loaded reports whether this instance had read it before, Age how long
	// before; it is 0 if it had not.
	Partition changelog.Partition
	Loaded    bool
	Age       time.Duration
	// After is the position asked for, Listed the number of results of the job in this instance's copy, and Total the number
	// of its items, or 0 if the job is not known.
	After, Listed, Total int
	Took                 time.Duration
	// LastRead is the error of the last read of the partition that has ended. It is the cause if Err says only that the time
	// is up.
	LastRead error
	// Asked is the number of other instances that were asked for their copy, PeerErr the errors of those that did not answer.
	Asked   int
	PeerErr error
	// Err is a *NotFoundError, *UnavailableError or *UncertainError.
	Err error
}

// Error implements error.
func (e *ReadError) Error() string {
	return fmt.Sprintf("batch job %s: step %s: %v", e.Job, e.Step, e.Err)
}

// Unwrap returns the cause.
func (e *ReadError) Unwrap() error { return e.Err }

// IncompleteCopyError reports a copy of a partition that lacks results or items of a job.
type IncompleteCopyError struct {
	Job          ID
	Found, Total int
}

// Error implements error.
func (e *IncompleteCopyError) Error() string {
	return fmt.Sprintf("the copy holds only %d of %d results or items of batch job %s", e.Found, e.Total, e.Job)
}

// readCall is a kind of call for a job.
type readCall string

// Calls for a job, as named in logs and metrics.
const (
	callResults readCall = "results"
	callBody    readCall = "body"
	callEnd     readCall = "end"
)

// refusalLogRate bounds the log lines about refused reads that failed at the same step, in lines a second.
const refusalLogRate = 10

// refusalLog logs and counts refused reads and ends of jobs.
type refusalLog struct {
	logger   *log.Logger
	refused  *prometheus.CounterVec
	limiters map[ReadStep]*rate.Limiter
}

// newRefusalLog returns a refusalLog. registerer may be nil.
func newRefusalLog(logger *log.Logger, registerer prometheus.Registerer) *refusalLog {
	l := &refusalLog{
		logger: logger, limiters: map[ReadStep]*rate.Limiter{},
		refused: prometheus.NewCounterVec(prometheus.CounterOpts{Name: "cicadasill_job_reads_refused_total",
			Help: "Refused reads and ends of jobs, by the call and the step that failed."}, []string{"call", "step"}),
	}
	for _, step := range readSteps {
		l.limiters[step] = rate.NewLimiter(refusalLogRate, refusalLogRate)
	}
	if registerer != nil {
		registerer.MustRegister(l.refused)
	}
	return l
}

// record counts a refusal, and logs it unless refusalLogRate is exceeded.
func (l *refusalLog) record(call readCall, e *ReadError) {
	l.refused.WithLabelValues(string(call), string(e.Step)).Inc()
	if !l.limiters[e.Step].Allow() {
		return
	}
	fields := []any{"call", call, "job", e.Job}
	if e.Item != "" {
		fields = append(fields, "item", e.Item)
	}
	fields = append(fields, "step", e.Step, "partition", e.Partition, "loaded", e.Loaded, "age", e.Age, "after", e.After,
		"listed", e.Listed, "total", e.Total, "took", e.Took, "err", e.Err, "last_read_err", e.LastRead, "asked", e.Asked, "peer_err", e.PeerErr)
	l.logger.Warn("read of a job refused", fields...)
}

// refuseByIndex records that the call failed at a step that concerns the index, and returns the error for the caller.
func (r *jobRead) refuseByIndex(step ReadStep, answers holderAnswers, err error) error {
	e := &ReadError{Step: step, Partition: changelog.Partition{Topic: indexTopic}, Asked: answers.asked, PeerErr: answers.err, Err: err}
	if s, ok := r.Summary(r.id); ok {
		e.Total = s.Total
	}
	return r.refuse(e, r.indexReplica)
}

// refuseByPartition records that the call failed at a step that concerns the job's partition, and returns the error for the
// caller.
func (r *jobRead) refuseByPartition(step ReadStep, s *Summary, answers holderAnswers, err error) error {
	p := r.partitions[s.Partition]
	return r.refuse(&ReadError{
		Step: step, Partition: p.id, Listed: p.listed(r.id), Total: s.Total, Asked: answers.asked, PeerErr: answers.err, Err: err,
	}, p.Replica)
}

// refuseUnread records that the job's partition could not be read, and returns the error for the caller.
func (r *jobRead) refuseUnread(s *Summary, answers holderAnswers, err error) error {
	step := StepRead
	var incomplete *IncompleteCopyError
	switch {
	case errors.As(err, &incomplete):
		step = StepIncomplete
	case !r.partitions[s.Partition].HasRead():
		step = StepLoad
	}
	return r.refuseByPartition(step, s, answers, &UnavailableError{Err: err})
}

// refuse completes e by the call and the copy of the partition, and records it.
func (r *jobRead) refuse(e *ReadError, replica *changelog.Replica) error {
	e.Job, e.Item, e.After, e.Took = r.id, r.item, r.after, time.Since(r.start)
	e.LastRead = replica.LastReadError()
	if e.Loaded = replica.HasRead(); e.Loaded {
		e.Age = replica.Age()
	}
	r.refusals.record(r.call, e)
	return e
}
