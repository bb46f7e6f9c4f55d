package release

import (
	"fmt"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/machine"
)

// GenerateCall is the call that every sampler service must have.
const GenerateCall = "generate"

// shareTolerance allows for rounding errors when decimal shares such as 0.1+0.2+0.7 are summed.
const shareTolerance = 1e-9

// mistake is a semantic error in a note or service. The field is a path relative to the value that
// was checked.
type mistake struct{ field, message string }

// findMistakes returns the semantic errors of a note that do not depend on a catalog.
func (n *Note) findMistakes() []mistake {
	var found []mistake
	if len(n.Added)+len(n.Changed)+len(n.Withdrawn) == 0 {
		found = append(found, mistake{"", "the note adds, changes and withdraws nothing"})
	}
	seen := map[string]bool{}
	checkDuplicate := func(name, field string) {
		if name != "" && seen[name] {
			found = append(found, mistake{field, fmt.Sprintf("%s appears twice in the note", name)})
		}
		seen[name] = true
	}
	checkServices := func(list string, services []contract.Service) {
		for i := range services {
			path := fmt.Sprintf("%s[%d]", list, i)
			checkDuplicate(services[i].Name, path+".name")
			for _, m := range checkService(&services[i]) {
				found = append(found, mistake{path + "." + m.field, m.message})
			}
		}
	}
	checkServices("added", n.Added)
	checkServices("changed", n.Changed)
	for i, name := range n.Withdrawn {
		checkDuplicate(name, fmt.Sprintf("withdrawn[%d]", i))
	}
	return found
}

// checkService returns the semantic errors of a service that do not depend on other services.
func checkService(s *contract.Service) []mistake {
	var found []mistake
	add := func(field, format string, args ...any) {
		found = append(found, mistake{field, fmt.Sprintf(format, args...)})
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

// checkTrainers checks that a sampler service with trainers has rollout terms and that the trainers'
// shares sum to at most 1.
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

// checkCatalog returns the first error that involves several services: a back end in two services or
// an unusable scoring service. The services must be sorted by name, so that every instance returns
// the same error. The message is empty if there is no error.
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

// checkScoring returns a message if the scoring service of s does not exist, is not a plain service
// or lacks the scoring call.
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
