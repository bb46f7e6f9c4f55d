package capacity

import "fmt"

// Code says why a measurement failed.
type Code string

// Failures of a measurement.
const (
	// NotReady: an instance did not boot in time.
	NotReady Code = "not_ready"
	// NotReached: a condition did not hold everywhere in time.
	NotReached Code = "not_reached"
	// TooFewSizes: a slope needs three sizes.
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
