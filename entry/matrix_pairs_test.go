package entry_test

import "strings"

// pair is a cell with two faults, the first of which ends before the second.
type pair struct{ at, first, second string }

var matrixPairs = []pair{
	{"append", "answer lost", "answer lost"},
	{"append", "answer lost", "racing operators"},
	{"append", "log outage", "instance killed"},
	{"read back", "answer lost", "instance killed"},
	{"read back", "log slow", "instance killed"},
	{"spread", "silent connections", "silent connections"},
	{"spread", "region cut", "instance killed"},
	{"boot", "log outage", "all replaced"},
	{"boot", "log outage", "silent connections"},
	{"expire", "all replaced", "racing operators"},
	{"claim lease", "instance killed", "instance killed"},
	{"claim lease", "answer lost", "instance paused"},
	{"renew", "instance paused", "stale list"},
	{"renew", "log outage", "log outage"},
	{"lapse", "region cut", "racing operators"},
	{"lapse", "log outage", "instance killed"},
}

func (p pair) name() string {
	return strings.ReplaceAll(p.at+"/"+p.first+"+"+p.second, " ", "-")
}

func (p pair) step() step {
	for _, s := range matrixSteps {
		if s.name == p.at {
			return s
		}
	}
	panic("no step " + p.at)
}

func (p pair) faults() []fault {
	var out []fault
	for _, name := range []string{p.first, p.second} {
		for _, f := range matrixFaults {
			if f.name == name {
				out = append(out, f)
			}
		}
	}
	return out
}
