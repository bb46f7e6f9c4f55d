// Package contract defines what a service promises its callers and trainers and what its
// back ends can do. Contracts are the objects that release notes add, change and withdraw.
package contract

import (
	"time"

	"github.com/cicadasill/cicadasill/machine"
)

// Priority orders waiting requests.
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
	// ChecksFencing states that every back end refuses an order with an old fencing number.
	ChecksFencing bool `json:"checks_fencing"`
	// QueueLimit bounds requests waiting at one instance for this service.
	QueueLimit int `json:"queue_limit,omitempty" validate:"gte=0,lte=100000"`
}

// Call is the contract of one call of a service.
type Call struct {
	Name       string   `json:"name" validate:"required,hostname_rfc1123,max=63"`
	Idempotent bool     `json:"idempotent"`
	Priority   Priority `json:"priority" validate:"required,oneof=staff rollout"`
	// AskByKey states that the back end runs a key at most once and reports its result on request.
	AskByKey bool `json:"ask_by_key"`
	// SharedKeys states that all back ends of the service know each key that ran at any of
	// them. Without it, every attempt of a key goes to the same back end.
	SharedKeys bool `json:"shared_keys,omitempty"`
	// RetryWindowS is the longest time in seconds after the first attempt at which a caller may repeat a key.
	RetryWindowS int `json:"retry_window_s,omitempty" validate:"gte=0,lte=3600"`
	// DeadlineMs is the deadline in milliseconds of a request that states none.
	DeadlineMs int `json:"deadline_ms,omitempty" validate:"gte=0,lte=3600000"`
}

// Trainer is a trainer of a service and its share of the service's rollout capacity.
type Trainer struct {
	Name  string  `json:"name" validate:"required,hostname_rfc1123,max=63"`
	Share float64 `json:"share" validate:"gt=0,lte=1"`
}

// RolloutTerms bound the samples of a service.
type RolloutTerms struct {
	// MaxVersionLag is the largest difference between the trainer's version and a sample's oldest version.
	MaxVersionLag int64 `json:"max_version_lag" validate:"gte=0,lte=1000"`
	// IdleWeight trades trainer idle time (1) against staleness (0).
	IdleWeight float64 `json:"idle_weight" validate:"gte=0,lte=1"`
	// MaxSwappingFraction is the largest part of the samplers that swaps weights at once.
	MaxSwappingFraction float64 `json:"max_swapping_fraction" validate:"gt=0,lte=1"`
	// ScoringService names the plain service that scores finished samples; empty means no scoring.
	ScoringService string `json:"scoring_service,omitempty" validate:"omitempty,hostname_rfc1123"`
	// ScoringCall is the call of ScoringService.
	ScoringCall string `json:"scoring_call,omitempty" validate:"omitempty,hostname_rfc1123"`
}

// Defaults of a call's optional terms.
const (
	DefaultRetryWindow = 2 * time.Minute
	DefaultDeadline    = 30 * time.Second
)

// RetryWindow returns the time during which a caller may repeat a key.
func (c Call) RetryWindow() time.Duration {
	if c.RetryWindowS == 0 {
		return DefaultRetryWindow
	}
	return time.Duration(c.RetryWindowS) * time.Second
}

// Deadline returns the deadline of a request that states none.
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
