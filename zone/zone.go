// Package zone defines the location of a machine, a data centre in a region, and the distance
// between two locations.
package zone

import "fmt"

// Zone is the location of a machine.
type Zone struct {
	Region     string `json:"region" validate:"required,hostname_rfc1123"`
	DataCentre string `json:"data_centre" validate:"required,hostname_rfc1123"`
}

// String returns "region/data-centre".
func (z Zone) String() string { return fmt.Sprintf("%s/%s", z.Region, z.DataCentre) }

// Distance is the rank of the distance between two zones; a higher value is farther.
type Distance int

// Distances between two zones, nearest first.
const (
	SameDataCentre Distance = iota
	SameRegion
	CrossRegion
)

// String returns the label used in metrics and logs.
func (d Distance) String() string {
	switch d {
	case SameDataCentre:
		return "same_data_centre"
	case SameRegion:
		return "same_region"
	default:
		return "cross_region"
	}
}

// DistanceTo returns the distance between z and other.
func (z Zone) DistanceTo(other Zone) Distance {
	switch {
	case z.Region != other.Region:
		return CrossRegion
	case z.DataCentre != other.DataCentre:
		return SameRegion
	default:
		return SameDataCentre
	}
}
