package trainer

import (
	"slices"
	"time"
)

// Capacity describes the engines that generate a trainer's samples.
type Capacity struct {
	Engines  int
	MaxBatch int
	// Rate returns the tokens per second of each sequence in a batch of n.
	Rate func(n int) float64
	// Share is the fraction of the engines that the trainer may use. 0 means all.
	Share float64
}

// Floor returns the time that the engines need to generate sequences of these lengths if they
// run nothing else, start the longest first and share the sequences evenly.
func (c Capacity) Floor(lengths []int) time.Duration {
	if c.Engines == 0 || len(lengths) == 0 {
		return 0
	}
	sorted := slices.Clone(lengths)
	slices.SortFunc(sorted, func(a, b int) int { return b - a })
	queues := make([][]int, c.Engines)
	for i, l := range sorted { // alternating direction, so that the total lengths differ little
		e := i % c.Engines
		if i/c.Engines%2 == 1 {
			e = c.Engines - 1 - e
		}
		queues[e] = append(queues[e], l)
	}
	var longest float64
	for _, q := range queues {
		longest = max(longest, c.generationTime(q))
	}
	if c.Share > 0 {
		longest /= c.Share
	}
	return time.Duration(longest * float64(time.Second))
}

// generationTime returns the seconds that one engine needs to generate the queue in its order.
func (c Capacity) generationTime(queue []int) float64 {
	var running []float64
	var seconds float64
	for len(queue) > 0 || len(running) > 0 {
		for len(queue) > 0 && len(running) < c.MaxBatch {
			running = append(running, float64(queue[0]))
			queue = queue[1:]
		}
		least := slices.Min(running)
		seconds += least / c.Rate(len(running))
		kept := running[:0]
		for _, left := range running {
			if left > least {
				kept = append(kept, left-least)
			}
		}
		running = kept
	}
	return seconds
}
