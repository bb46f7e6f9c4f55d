package capacity

import "fmt"

// Code is the reason why a measurement failed.
type Code string

// Reasons why a measurement fails.
const (
	// NotReady means that an instance did not become ready in time.
	NotReady Code = "not_ready"
	// NotReached means that a condition did not hold on all instances in time.
	NotReached Code = "not_reached"
	// TooFewSizes means that fewer than three numbers of instances were given, too few for a fit.
	TooFewSizes Code = "too_few_sizes"
)

// Error is the failure of a measurement.
type Error struct {
	Code Code
	Err  error
}

// Error implements error.
func (e *Error) Error() string {
	if e.Err == nil {
		return string(e.Code)
	}
	return fmt.Sprintf("%s: %v", e.Code, e.Err)
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Err }
