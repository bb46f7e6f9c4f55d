package entry_test

import "strings"

// faultPair is a cell with two faults, injected together. The first is removed before the effect of the
// second is awaited.
type faultPair struct{ stepName, first, second string }

var matrixPairs = []faultPair{
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

func (p faultPair) name() string {
	return strings.ReplaceAll(p.stepName+"/"+p.first+"+"+p.second, " ", "-")
}

func (p faultPair) step() step {
	for _, s := range matrixSteps {
		if s.name == p.stepName {
			return s
		}
	}
	panic("no step " + p.stepName)
}

func (p faultPair) faults() []fault {
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
