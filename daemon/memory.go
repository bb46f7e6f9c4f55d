package daemon

import (
	"math"
	"runtime/debug"

	"github.com/KimMachineGun/automemlimit/memlimit"
	"github.com/charmbracelet/log"

	"github.com/cicadasill/cicadasill/entry"
)

// softLimitFraction is the fraction of the memory that is set as the Go runtime's soft limit. The rest fits the program, its stacks
// and what is freed but not yet collected.
const softLimitFraction = 0.6

// limitMemory sets the soft limit of the Go runtime and returns the memory in bytes that the process may take: settingMB if it is
// not 0, else the smallest of GOMEMLIMIT, the limit of the control group and the memory of the machine.
func limitMemory(settingMB float64, logger *log.Logger) int64 {
	memory, source := int64(settingMB*(1<<20)), "settings"
	if memory == 0 {
		memory, source = detectMemory(logger)
	}
	debug.SetMemoryLimit(int64(softLimitFraction * float64(memory)))
	logger.Info("memory limited", "bytes", memory, "source", source)
	return memory
}

// detectMemory returns the memory that the environment allows the process, and what states it.
func detectMemory(logger *log.Logger) (memory int64, source string) {
	memory, source = debug.SetMemoryLimit(-1), "GOMEMLIMIT" // a negative limit changes nothing
	for name, provider := range map[string]memlimit.Provider{"control group": memlimit.FromCgroup, "machine": memlimit.FromSystem} {
		bytes, err := provider()
		if err != nil {
			logger.Debug("memory not known", "source", name, "err", err)
			continue
		}
		if bytes < uint64(memory) {
			memory, source = int64(bytes), name
		}
	}
	if memory == math.MaxInt64 {
		return entry.DefaultMemoryBytes, "default"
	}
	return memory, source
}
