package demo

import (
	"testing"

	"github.com/matryer/is"
)

// Guards against a late note that is put down to the instances although timers show that the machine was
// starved, and against one that is excused on a machine that was not.
func TestLateNotesOfAStarvedMachine(t *testing.T) {
	is := is.New(t)
	late := []string{"note demo-1 was not in force everywhere 11.0 s after its acceptance"}
	starved := &Report{Host: Host{TimerLateP99Ms: starvedTimerLateMs + 1}}
	judgeLateNotes(starved, late)
	is.True(!starved.HasBrokenPromises())
	is.Equal(len(starved.NotJudged), 1)
	calm := &Report{Host: Host{TimerLateP99Ms: starvedTimerLateMs}}
	judgeLateNotes(calm, late)
	is.Equal(calm.BrokenPromises, []BrokenPromise{{ID: "P9", Description: late[0]}})
	is.Equal(len(calm.NotJudged), 0)
}
