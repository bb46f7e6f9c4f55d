// Package provision decides how many back ends each data centre needs for the work that is due, and orders them from the
// platform.
package provision

import "errors"

// Order asks the platform for a number of back ends of one kind. It states their total, so that a repeated order changes nothing.
type Order struct {
	Service    string
	DataCentre string
	Count      int
	// Reclaimable back ends cost less, and the platform may take all of a data centre away at once.
	Reclaimable bool
}

// ErrRefused means that no back ends are available there at the moment, or that the platform has seen a higher fencing token
// for the service and data centre.
var ErrRefused = errors.New("the platform has no back ends available there or has seen a higher fencing token")
