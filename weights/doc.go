// Package weights announces weight versions and drives every sampler of a service to the newest
// announced version that is not withdrawn.
//
// The holder of the lease orders/<service> gives the orders. In each region one sampler loads from
// the weight store and the others from samplers of the region that hold the version already, so
// that the version crosses the link between regions once.
package weights
