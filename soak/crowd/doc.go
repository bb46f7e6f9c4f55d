// Package crowd tests the system's processes under clients beyond every limit. Its tests start real processes on loopback
// addresses and run one at a time, apart from other load (scripts/test.sh).
package crowd
