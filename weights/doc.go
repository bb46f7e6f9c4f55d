// Package weights records announcements of weight versions and distributes the newest announced
// version that is not withdrawn to every sampler of a service.
//
// The holder of the lease orders/<service> sends the orders to load a version. In each region one
// sampler loads from the weight store, and the others load from samplers of the region that already
// hold the version, so that the version crosses the link between regions once.
package weights
