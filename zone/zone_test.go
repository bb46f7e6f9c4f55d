package zone_test

import (
	"testing"

	"github.com/matryer/is"

	"github.com/cicadasill/cicadasill/zone"
)

// Guards against traffic inside a region being counted as traffic between regions.
func TestDistance(t *testing.T) {
	is := is.New(t)
	north := zone.Zone{Region: "almaty", DataCentre: "alm-north"}
	south := zone.Zone{Region: "almaty", DataCentre: "alm-south"}
	east := zone.Zone{Region: "shymkent", DataCentre: "shym-east"}
	is.Equal(north.DistanceTo(north), zone.SameDataCentre)
	is.Equal(north.DistanceTo(south), zone.SameRegion)
	is.Equal(north.DistanceTo(east), zone.CrossRegion)
}
