package release

import (
	"fmt"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/machine"
)

// GenerateCall is the call that every sampler service must have.
const GenerateCall = "generate"

// shareTolerance absorbs the rounding of decimal shares such as 0.1+0.2+0.7.
const shareTolerance = 1e-9

// problem is one semantic mistake at a field path of a note or service.
type problem struct{ field, message string }

// check finds the mistakes that concern the note alone.
func (n *Note) check() []problem {
	var found []problem
	if len(n.Added)+len(n.Changed)+len(n.Withdrawn) == 0 {
		found = append(found, problem{"", "the note adds, changes and withdraws nothing"})
	}
	seen := map[string]bool{}
	once := func(name, field string) {
		if name != "" && seen[name] {
			found = append(found, problem{field, fmt.Sprintf("%s appears twice in the note", name)})
		}
		seen[name] = true
	}
	services := func(list string, all []contract.Service) {
		for i := range all {
			at := fmt.Sprintf("%s[%d]", list, i)
			once(all[i].Name, at+".name")
			for _, p := range checkService(&all[i]) {
				found = append(found, problem{at + "." + p.field, p.message})
			}
		}
	}
	services("added", n.Added)
	services("changed", n.Changed)
	for i, name := range n.Withdrawn {
		once(name, fmt.Sprintf("withdrawn[%d]", i))
	}
	return found
}

// checkService finds the mistakes that concern one service alone.
func checkService(s *contract.Service) []problem {
	var found []problem
	add := func(field, format string, args ...any) {
		found = append(found, problem{field, fmt.Sprintf(format, args...)})
	}
	if s.Kind == machine.Sampler {
		if _, ok := s.Call(GenerateCall); !ok {
			add("calls", "a sampler service needs the call %s", GenerateCall)
		}
	} else {
		if s.Rollout != nil {
			add("rollout", "only a sampler service has rollout terms")
		}
		if len(s.Trainers) > 0 {
			add("trainers", "only a sampler service has trainers")
		}
	}
	checkTrainers(s, add)
	for i := range s.Backends {
		b := &s.Backends[i]
		if b.Service != s.Name {
			add(fmt.Sprintf("backends[%d].service", i), "back end %s names service %q, not %q", b.ID, b.Service, s.Name)
		}
		if b.Kind != s.Kind {
			add(fmt.Sprintf("backends[%d].kind", i), "back end %s is a %s, the service is a %s", b.ID, b.Kind, s.Kind)
		}
	}
	if r := s.Rollout; r != nil && (r.ScoringService == "") != (r.ScoringCall == "") {
		add("rollout.scoring_call", "scoring_service and scoring_call are given together")
	}
	return found
}

func checkTrainers(s *contract.Service, add func(field, format string, args ...any)) {
	if len(s.Trainers) > 0 && s.Rollout == nil && s.Kind == machine.Sampler {
		add("rollout", "a service with trainers needs rollout terms")
	}
	var sum float64
	for _, t := range s.Trainers {
		sum += t.Share
	}
	if sum > 1+shareTolerance {
		add("trainers", "the trainers' shares sum to %g, more than 1", sum)
	}
}

// checkCatalog finds the first mistake that concerns several services. It goes through
// services in order of their names, so that every instance finds the same one.
func checkCatalog(services []*contract.Service) (object, message string) {
	byName := make(map[string]*contract.Service, len(services))
	owner := map[string]string{}
	for _, s := range services {
		byName[s.Name] = s
	}
	for _, s := range services {
		for _, b := range s.Backends {
			if other, taken := owner[b.ID]; taken {
				return s.Name, fmt.Sprintf("back end %s belongs to %s already", b.ID, other)
			}
			owner[b.ID] = s.Name
		}
		if message := checkScoring(s, byName); message != "" {
			return s.Name, message
		}
	}
	return "", ""
}

func checkScoring(s *contract.Service, byName map[string]*contract.Service) string {
	if s.Rollout == nil || s.Rollout.ScoringService == "" {
		return ""
	}
	scorer, ok := byName[s.Rollout.ScoringService]
	if !ok {
		return fmt.Sprintf("scoring service %s does not exist", s.Rollout.ScoringService)
	}
	if scorer.Kind != machine.Plain {
		return fmt.Sprintf("scoring service %s is not a plain service", scorer.Name)
	}
	if _, ok := scorer.Call(s.Rollout.ScoringCall); !ok {
		return fmt.Sprintf("scoring service %s has no call %s", scorer.Name, s.Rollout.ScoringCall)
	}
	return ""
}
