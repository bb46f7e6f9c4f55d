package demo

import (
	"time"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/zone"
)

// Sizes of the demonstration, chosen so that it runs on about four cores.
const (
	instancesPerDataCentre = 3
	tokenRate              = 300.0 // tokens per second of a sequence alone on an engine
	weightBytes            = 2 << 20
	storeRate              = 100 << 20
	swapTime               = 100 * time.Millisecond
	trainerGroups          = 16
	trainerSamples         = 4
	trainerTokens          = 48
	trainerThink           = 600 * time.Millisecond
	startVersion           = 1
	maxSwappingFraction    = 0.34
	menuServices           = 4 // services that operators change all the time
	plainThink             = 8 * time.Millisecond
	scoreThink             = 3 * time.Millisecond
)

// deployment is one of the deployments of the design page.
type deployment struct {
	name    string
	zones   []zone.Zone // the first one's region has the weight store and the log
	trained string      // trained sampler service, 9 samplers
	staff   string      // sampler service for staff, 3 samplers
	desk    string      // plain service with a non-idempotent and an idempotent call
	books   string      // plain service with ask_by_key
	scores  string      // scoring service

	trainer       string
	maxLag        int64
	idleWeight    float64
	checksFencing bool
}

func deploymentOf(name string) deployment {
	if name == Moreton {
		return deployment{
			name: Moreton,
			zones: []zone.Zone{
				{Region: "brisbane", DataCentre: "brisbane-a"}, {Region: "brisbane", DataCentre: "brisbane-b"},
				{Region: "townsville", DataCentre: "townsville-a"},
			},
			trained: "tray-llm", staff: "scoreboard", desk: "tray-entries", books: "prize-books", scores: "tray-scores",
			trainer: "judging", maxLag: 2, idleWeight: 0.2, checksFencing: false,
		}
	}
	return deployment{
		name: AltynTostar,
		zones: []zone.Zone{
			{Region: "almaty", DataCentre: "alm-north"}, {Region: "almaty", DataCentre: "alm-south"},
			{Region: "shymkent", DataCentre: "shym-east"},
		},
		trained: "fry-lm", staff: "line-desk", desk: "oil-orders", books: "oil-books", scores: "fry-scores",
		trainer: "fryer", maxLag: 3, idleWeight: 0.8, checksFencing: true,
	}
}

// Calls of the plain services.
const (
	callBook  = "book"  // non-idempotent
	callList  = "list"  // idempotent
	callPost  = "post"  // non-idempotent, ask_by_key
	callScore = "score" // idempotent, for rollouts
	callModel = "generate"
)

// contracts returns the services of the first release note.
func (d deployment) contracts(backends map[string][]machine.Backend) []contract.Service {
	generate := []contract.Call{{Name: callModel, Idempotent: true, Priority: contract.Staff}}
	out := []contract.Service{
		{
			Name: d.trained, Kind: machine.Sampler, Calls: generate, Backends: backends[d.trained],
			Trainers:      []contract.Trainer{{Name: d.trainer, Share: 1}},
			ChecksFencing: d.checksFencing,
			Rollout: &contract.RolloutTerms{
				MaxVersionLag: d.maxLag, IdleWeight: d.idleWeight, MaxSwappingFraction: maxSwappingFraction,
				ScoringService: d.scores, ScoringCall: callScore,
			},
		},
		{Name: d.staff, Kind: machine.Sampler, Calls: generate, Backends: backends[d.staff], ChecksFencing: d.checksFencing},
		{Name: d.desk, Kind: machine.Plain, Backends: backends[d.desk], Calls: []contract.Call{
			{Name: callBook, Priority: contract.Staff, RetryWindowS: 60},
			{Name: callList, Idempotent: true, Priority: contract.Staff},
		}},
		{Name: d.books, Kind: machine.Plain, Backends: backends[d.books], Calls: []contract.Call{
			{Name: callPost, Priority: contract.Staff, AskByKey: true, RetryWindowS: 60},
		}},
		{Name: d.scores, Kind: machine.Plain, Backends: backends[d.scores], Calls: []contract.Call{
			{Name: callScore, Idempotent: true, Priority: contract.Rollout},
		}},
	}
	for i := range menuServices {
		out = append(out, menuService(i, 1, backends[d.desk][0]))
	}
	return out
}
