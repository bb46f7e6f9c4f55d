package rollout

import (
	"context"
	"slices"
	"time"
)

// progress is the part of a sequence generated so far and who produced it.
type progress struct {
	tokens        []int64
	ranges        []Range
	promptVersion int64
}

// clone copies p so that another attempt can continue from it.
func (p *progress) clone() *progress {
	return &progress{tokens: slices.Clone(p.tokens), ranges: slices.Clone(p.ranges), promptVersion: p.promptVersion}
}

// add appends tokens that version produced.
func (p *progress) add(version int64, tokens []int64) {
	from := len(p.tokens)
	p.tokens = append(p.tokens, tokens...)
	if n := len(p.ranges); n > 0 && p.ranges[n-1].Version == version {
		p.ranges[n-1].To = len(p.tokens)
		return
	}
	p.ranges = append(p.ranges, Range{Version: version, From: from, To: len(p.tokens)})
}

// useKV records that the prompt's KV cache of version was used. Work on a cache counts as work of
// the weights that computed it, so the oldest version stays.
func (p *progress) useKV(version int64) {
	if p.promptVersion == 0 || version < p.promptVersion {
		p.promptVersion = version
	}
}

// oldest returns the oldest version that contributed, and false when nothing was generated.
func (p *progress) oldest() (int64, bool) {
	if p == nil || (p.promptVersion == 0 && len(p.ranges) == 0) {
		return 0, false
	}
	v := p.promptVersion
	for _, r := range p.ranges {
		if v == 0 || r.Version < v {
			v = r.Version
		}
	}
	return v, true
}

// sample is one sample of an open step. All fields are guarded by the step's mutex.
type sample struct {
	id       SampleID
	position int
	group    *Group
	seed     int64

	// attempt counts starts from the first token; attempts of an earlier start are dead.
	attempt int
	queued  bool
	have    bool
	live    []*attempt
	// saved is what failed or moved attempts left for the next one to resume from.
	saved    *progress
	exclude  []string
	noPrefix bool
	// winner is the whole sequence while it is being scored, result afterwards.
	winner *progress
	result *Sample
	// spent counts the tokens generated for the current start, by all attempts together.
	spent     int
	moves     int
	failures  int
	notBefore time.Time
	// predicted is the expected length when the sample was last started. A sample far beyond it is
	// parked once: it waits until no other sample does.
	predicted    float64
	parked       bool
	softRestarts int
	hedged       bool
	delivered    bool
	stopScoring  context.CancelFunc
}

// oldest returns the oldest version that any live progress of s carries.
func (s *sample) oldest() (int64, bool) {
	oldest, any := int64(0), false
	consider := func(p *progress) {
		if v, ok := p.oldest(); ok && (!any || v < oldest) {
			oldest, any = v, true
		}
	}
	consider(s.saved)
	consider(s.winner)
	for _, a := range s.live {
		consider(a.progress)
	}
	return oldest, any
}

// oldest returns the oldest version of a finished sample.
func (r *Sample) oldest() int64 {
	p := progress{ranges: r.Ranges, promptVersion: r.PromptVersion}
	v, _ := p.oldest()
	return v
}
