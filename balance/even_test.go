package balance

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// The replayed service: 48 back ends of 8 slots, 0.7 of which are taken on average. All choosers together start the same number
// of items; each starts a step of its own every 4 s and knows only its own items.
const (
	replayedBackends = 48
	replayedSlots    = 8
	replayedRun      = time.Second // mean duration of an item
	replayedStep     = 4 * time.Second
	replayedItems    = replayedBackends * replayedSlots * 7 / 10 * 4 // of all choosers in a step's time
	replayedTick     = 10 * time.Millisecond
	replayedTime     = 24 * time.Second
)

type replayedItem struct {
	chooser int
	left    time.Duration
}

// replayChoosers plays choosers that send each item to the back end with the fewest of their own items, where prefers decides
// among equals. It returns the ratio of the busiest back end's items to the mean and the mean wait in a back end's queue.
func replayChoosers(choosers int, prefers func(chooser, a, b string) bool) (busiestToMean float64, wait time.Duration) {
	random := rand.New(rand.NewPCG(3, 4))
	ids, names := make([]string, replayedBackends), make([]string, choosers)
	for b := range ids {
		ids[b] = fmt.Sprintf("server-%d", b)
	}
	own, nextStep := make([][]int, choosers), make([]time.Duration, choosers)
	for c := range names {
		names[c] = fmt.Sprintf("instance-%d", c)
		own[c] = make([]int, replayedBackends)
		nextStep[c] = time.Duration(random.Int64N(int64(replayedStep)))
	}
	queues := make([][]replayedItem, replayedBackends) // the first replayedSlots of each run
	got := make([]int, replayedBackends)
	total, waited := 0, 0
	for at := time.Duration(0); at < replayedTime; at += replayedTick {
		for c := range names {
			if at < nextStep[c] {
				continue
			}
			nextStep[c] += replayedStep
			for range replayedItems / choosers {
				best := 0
				for b := range ids {
					if own[c][b] < own[c][best] || (own[c][b] == own[c][best] && prefers(names[c], ids[b], ids[best])) {
						best = b
					}
				}
				own[c][best]++
				got[best]++
				total++
				run := time.Duration(random.ExpFloat64() * float64(replayedRun))
				queues[best] = append(queues[best], replayedItem{chooser: c, left: run})
			}
		}
		for b, queue := range queues {
			kept := queue[:0]
			for i, item := range queue {
				if i < replayedSlots {
					item.left -= replayedTick
				} else {
					waited++
				}
				if item.left <= 0 {
					own[item.chooser][b]--
					continue
				}
				kept = append(kept, item)
			}
			queues[b] = kept
		}
	}
	busiest := 0
	for _, n := range got {
		busiest = max(busiest, n)
	}
	return float64(busiest) * replayedBackends / float64(total), time.Duration(waited) * replayedTick / time.Duration(total)
}

// Guards against back ends that are overrun while others idle, because many instances with few items each choose in one order.
func TestManyChoosersSpreadTheirItems(t *testing.T) {
	is := is.New(t)
	for _, choosers := range []int{10, 82, 124, 331} {
		oneOrder, waitInOneOrder := replayChoosers(choosers, func(_, a, b string) bool { return a < b })
		ranked, wait := replayChoosers(choosers, Prefers)
		t.Logf("%d choosers: busiest to mean %.2f in one order, %.2f ranked; mean wait %v, %v", choosers, oneOrder, ranked,
			waitInOneOrder.Round(time.Millisecond), wait.Round(time.Millisecond))
		is.True(ranked < oneOrder)
		is.True(wait < waitInOneOrder)
		is.True(wait <= replayedRun/2) // a step's time has no room for more
	}
}
