package truetime

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// drawnMachine is a machine with drawn clocks.
type drawnMachine struct {
	id    string
	boot  time.Duration                        // true time of its boot
	error func(at time.Duration) time.Duration // of its time of day
	next  time.Duration                        // true time of its next reading
	delay func(at time.Duration) time.Duration // of its readings
}

func (m *drawnMachine) read(at time.Duration) Reading {
	return Reading{Wall: at + m.error(at), Boot: at - m.boot}
}

// start is the true time at which the drawn histories begin.
const start = 1_700_000_000 * time.Second

// drawnHistory lets machines write readings for a while and one of them, the first, read them. It returns the largest error of the
// estimate after a warm-up of 10 s; deployments begin to serve 14 s after their start. frozen tells whether the reader reads nothing.
func drawnHistory(machines []*drawnMachine, length time.Duration, frozen func(at time.Duration) bool) time.Duration {
	const step, interval, warmUp = 10 * time.Millisecond, 800 * time.Millisecond, 10 * time.Second
	type written struct {
		m       *drawnMachine
		r       Reading
		arrives time.Duration
	}
	e := NewEstimator(machines[0].id)
	var onTheWay []written
	worst := time.Duration(0)
	for at := start; at < start+length; at += step {
		for _, m := range machines {
			if at >= m.next {
				m.next = at + interval
				onTheWay = append(onTheWay, written{m, m.read(at), at + m.delay(at)})
			}
		}
		if frozen(at - start) {
			continue
		}
		rest := onTheWay[:0]
		for _, w := range onTheWay {
			if w.arrives > at {
				rest = append(rest, w)
				continue
			}
			e.Observe(w.m.id, 1, w.r, at-machines[0].boot)
		}
		onTheWay = rest
		if at > start+warmUp {
			now := machines[0].read(at)
			worst = max(worst, (now.Boot + e.Offset(now) - at).Abs())
		}
	}
	return worst
}

// drawMachines returns machines whose times of day are off by up to 30 ms, and whose readings take 5 to 500 ms.
func drawMachines(r *rand.Rand, n int) []*drawnMachine {
	machines := make([]*drawnMachine, n)
	for i := range machines {
		off := time.Duration(r.Int64N(int64(60*time.Millisecond))) - 30*time.Millisecond
		machines[i] = &drawnMachine{
			id: fmt.Sprint(i), boot: start - time.Duration(r.Int64N(int64(1000*time.Hour))),
			error: func(time.Duration) time.Duration { return off }, next: start + time.Duration(r.Int64N(int64(800*time.Millisecond))),
			delay: func(time.Duration) time.Duration {
				return 5*time.Millisecond + time.Duration(r.Int64N(int64(495*time.Millisecond)))
			},
		}
	}
	return machines
}

// Guards against counts that move to another window because the times of day of some machines are wrong, one jumps forward and back,
// or the reader was suspended. Reports may be off by 5%, which is 250 ms of a window of 5 s; half of that is left for other causes.
func TestWrongClocksDoNotMoveTrueTime(t *testing.T) {
	const bound = 125 * time.Millisecond
	never := func(time.Duration) bool { return false }
	for seed := range uint64(20) {
		for name, history := range map[string]func(r *rand.Rand) time.Duration{
			"a third off by seconds": func(r *rand.Rand) time.Duration {
				machines := drawMachines(r, 9)
				for _, m := range machines[:3] {
					off := time.Duration(r.Int64N(int64(20*time.Second))) - 10*time.Second
					m.error = func(time.Duration) time.Duration { return off }
				}
				return drawnHistory(machines, 30*time.Second, never)
			},
			"the own clock jumps by a minute and back": func(r *rand.Rand) time.Duration {
				machines := drawMachines(r, 5)
				jump := time.Duration(1-2*r.IntN(2)) * time.Minute
				machines[0].error = func(at time.Duration) time.Duration {
					if at > start+15*time.Second && at < start+19*time.Second {
						return jump
					}
					return 0
				}
				return drawnHistory(machines, 30*time.Second, never)
			},
			"another clock jumps to and fro": func(r *rand.Rand) time.Duration {
				machines := drawMachines(r, 5)
				machines[3].error = func(at time.Duration) time.Duration {
					return time.Duration(int64(at/(3*time.Second))%2) * 5 * time.Second
				}
				return drawnHistory(machines, 30*time.Second, never)
			},
			"the reader is suspended for 6 s": func(r *rand.Rand) time.Duration {
				return drawnHistory(drawMachines(r, 5), 30*time.Second, func(at time.Duration) bool { return at > 10*time.Second && at < 16*time.Second })
			},
			"the store is slow for 8 s": func(r *rand.Rand) time.Duration {
				machines := drawMachines(r, 5)
				for _, m := range machines {
					usual := m.delay
					m.delay = func(at time.Duration) time.Duration {
						if at > start+10*time.Second && at < start+18*time.Second {
							return usual(at) + 2*time.Second
						}
						return usual(at)
					}
				}
				return drawnHistory(machines, 40*time.Second, never)
			},
		} {
			if worst := history(rand.New(rand.NewPCG(seed, 1))); worst > bound {
				t.Errorf("%s, seed %d: off by %v", name, seed, worst)
			}
		}
	}
}

// Guards against readings of a machine that was booted again, whose clock since boot is mapped as before.
func TestRestartedMachineIsMappedAnew(t *testing.T) {
	is := is.New(t)
	e := NewEstimator("a")
	second := func(n int) time.Duration { return time.Duration(n) * time.Second }
	e.Observe("b", 1, Reading{Wall: second(1000), Boot: second(500)}, second(10))
	e.Observe("b", 2, Reading{Wall: second(1005), Boot: second(1)}, second(15))
	is.Equal(e.Offset(Reading{Wall: second(1005), Boot: second(15)}), second(990))
}

// Guards against an instance without peers, and against one whose peers ended long ago, that show another time than their own.
func TestOwnClockWithoutPeers(t *testing.T) {
	is := is.New(t)
	e := NewEstimator("a")
	is.Equal(e.Offset(Reading{Wall: 100, Boot: 10}), time.Duration(90))
	e.Observe("b", 1, Reading{Wall: time.Hour, Boot: 0}, 0)
	now := Reading{Wall: time.Minute, Boot: maxOpinionAge + time.Second}
	is.Equal(e.Offset(now), now.Wall-now.Boot)
}
