// Package contract defines what a service promises its callers and trainers and what its
// back ends can do. Contracts are the objects that release notes add, change and withdraw.
package contract

import (
	"time"

	"github.com/cicadasill/cicadasill/machine"
)

// Priority determines the order in which waiting requests are served.
type Priority string

// Priorities, highest first.
const (
	Staff   Priority = "staff"
	Rollout Priority = "rollout"
)

// Service is the contract of one service.
type Service struct {
	Name     string            `json:"name" validate:"required,hostname_rfc1123,max=63"`
	Kind     machine.Kind      `json:"kind" validate:"required,oneof=sampler plain"`
	Calls    []Call            `json:"calls" validate:"required,min=1,max=64,unique=Name,dive"`
	Trainers []Trainer         `json:"trainers,omitempty" validate:"max=16,unique=Name,dive"`
	Backends []machine.Backend `json:"backends" validate:"max=1024,unique=ID,dive"`
	Rollout  *RolloutTerms     `json:"rollout,omitempty"`
	// ChecksFencing states that every back end refuses an order whose fencing token is lower than
	// the highest one that it has seen.
	ChecksFencing bool `json:"checks_fencing"`
	// QueueLimit is the maximum number of requests for this service that wait at one instance.
	QueueLimit int `json:"queue_limit,omitempty" validate:"gte=0,lte=100000"`
}

// Call is the contract of one call of a service.
type Call struct {
	Name       string   `json:"name" validate:"required,hostname_rfc1123,max=63"`
	Idempotent bool     `json:"idempotent"`
	Priority   Priority `json:"priority" validate:"required,oneof=staff rollout"`
	// AskByKey states that the back end runs the requests with the same key at most once and can be
	// asked for the result by key.
	AskByKey bool `json:"ask_by_key"`
	// SharedKeys states that the back ends of the service share their record of keys, so that a key
	// that ran at one of them does not run again at another. Without it, every attempt with the
	// same key goes to the same back end.
	SharedKeys bool `json:"shared_keys,omitempty"`
	// RetryWindowS is the time in seconds after the first attempt within which a caller may repeat
	// a request with the same key.
	RetryWindowS int `json:"retry_window_s,omitempty" validate:"gte=0,lte=3600"`
	// DeadlineMs is the default deadline in milliseconds, for a request that states none.
	DeadlineMs int `json:"deadline_ms,omitempty" validate:"gte=0,lte=3600000"`
}

// Trainer is a trainer of a service and its share of the service's rollout capacity.
type Trainer struct {
	Name  string  `json:"name" validate:"required,hostname_rfc1123,max=63"`
	Share float64 `json:"share" validate:"gt=0,lte=1"`
}

// RolloutTerms holds the rules for the samples of a sampler service: the age of their weights,
// weight swaps and scoring.
type RolloutTerms struct {
	// MaxVersionLag is the maximum difference between the trainer's weight version and the oldest
	// weight version that produced a part of a sample.
	MaxVersionLag int64 `json:"max_version_lag" validate:"gte=0,lte=1000"`
	// IdleWeight sets the trade-off between the staleness of samples and the trainer's idle time,
	// from 0 (keep staleness low) to 1 (keep idle time low).
	IdleWeight float64 `json:"idle_weight" validate:"gte=0,lte=1"`
	// MaxSwappingFraction is the maximum fraction of the samplers that swap weights at the same time.
	MaxSwappingFraction float64 `json:"max_swapping_fraction" validate:"gt=0,lte=1"`
	// ScoringService names the plain service that scores finished samples; empty means no scoring.
	ScoringService string `json:"scoring_service,omitempty" validate:"omitempty,hostname_rfc1123"`
	// ScoringCall names the call of ScoringService that scores a sample.
	ScoringCall string `json:"scoring_call,omitempty" validate:"omitempty,hostname_rfc1123"`
}

// Defaults for the optional fields of a Call.
const (
	DefaultRetryWindow = 2 * time.Minute
	DefaultDeadline    = 30 * time.Second
)

// RetryWindow returns the time after the first attempt within which a caller may repeat a request
// with the same key.
func (c Call) RetryWindow() time.Duration {
	if c.RetryWindowS == 0 {
		return DefaultRetryWindow
	}
	return time.Duration(c.RetryWindowS) * time.Second
}

// Deadline returns the default deadline, for a request that states none.
func (c Call) Deadline() time.Duration {
	if c.DeadlineMs == 0 {
		return DefaultDeadline
	}
	return time.Duration(c.DeadlineMs) * time.Millisecond
}

// Call returns the call named name.
func (s *Service) Call(name string) (Call, bool) {
	for _, c := range s.Calls {
		if c.Name == name {
			return c, true
		}
	}
	return Call{}, false
}

// Trainer returns the trainer named name.
func (s *Service) Trainer(name string) (Trainer, bool) {
	for _, t := range s.Trainers {
		if t.Name == name {
			return t, true
		}
	}
	return Trainer{}, false
}
