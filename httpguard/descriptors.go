package httpguard

import (
	"math"
	"syscall"
)

// DescriptorLimit returns the number of descriptors that the operating system allows the process. If it is not known, other
// limits have to bound the connections.
func DescriptorLimit() int {
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		return math.MaxInt32
	}
	return int(min(limit.Cur, math.MaxInt32))
}
