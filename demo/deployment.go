package demo

import (
	"time"

	"github.com/cicadasill/cicadasill/contract"
	"github.com/cicadasill/cicadasill/machine"
	"github.com/cicadasill/cicadasill/zone"
)

// Sizes that let the demonstration run on about four cores.
const (
	instancesPerDataCentre = 3
	tokenRate              = 300.0 // tokens per second of a sequence that is alone on an engine
	weightBytes            = 2 << 20
	storeRate              = 100 << 20
	swapTime               = 100 * time.Millisecond
	groupsPerStep          = 16
	samplesPerGroup        = 4
	medianSampleTokens     = 48
	trainingTime           = 600 * time.Millisecond
	startVersion           = 1
	maxSwappingFraction    = 0.34
	menuServiceCount       = 4 // services that operators change all the time
	plainServiceTime       = 8 * time.Millisecond
	scoringServiceTime     = 3 * time.Millisecond
)

// deployment describes one of the deployments of the design page.
type deployment struct {
	name            string
	zones           []zone.Zone // the region of the first has the weight store and the log
	trainedService  string      // sampler service whose model is trained, 9 samplers
	staffService    string      // sampler service for staff, 3 samplers
	bookingService  string      // plain service with a non-idempotent and an idempotent call
	askByKeyService string      // plain service with ask_by_key
	scoringService  string      // scoring service

	trainer       string
	maxVersionLag int64
	idleWeight    float64
	checksFencing bool
}

// deploymentByName returns Moreton if name is Moreton, else AltynTostar.
func deploymentByName(name string) deployment {
	if name == Moreton {
		return deployment{
			name: Moreton,
			zones: []zone.Zone{
				{Region: "brisbane", DataCentre: "brisbane-a"}, {Region: "brisbane", DataCentre: "brisbane-b"},
				{Region: "townsville", DataCentre: "townsville-a"},
			},
			trainedService: "tray-llm", staffService: "scoreboard", bookingService: "tray-entries", askByKeyService: "prize-books", scoringService: "tray-scores",
			trainer: "judging", maxVersionLag: 2, idleWeight: 0.2, checksFencing: false,
		}
	}
	return deployment{
		name: AltynTostar,
		zones: []zone.Zone{
			{Region: "almaty", DataCentre: "alm-north"}, {Region: "almaty", DataCentre: "alm-south"},
			{Region: "shymkent", DataCentre: "shym-east"},
		},
		trainedService: "fry-lm", staffService: "line-desk", bookingService: "oil-orders", askByKeyService: "oil-books", scoringService: "fry-scores",
		trainer: "fryer", maxVersionLag: 3, idleWeight: 0.8, checksFencing: true,
	}
}

// Calls of the services.
const (
	callBook  = "book"     // non-idempotent
	callList  = "list"     // idempotent
	callPost  = "post"     // non-idempotent, ask_by_key
	callScore = "score"    // idempotent, for rollouts
	callModel = "generate" // idempotent, at the sampler services
)

// contracts returns the contracts of all services, for the first release note.
func (d deployment) contracts(backends map[string][]machine.Backend) []contract.Service {
	generate := []contract.Call{{Name: callModel, Idempotent: true, Priority: contract.Staff}}
	out := []contract.Service{
		{
			Name: d.trainedService, Kind: machine.Sampler, Calls: generate, Backends: backends[d.trainedService],
			Trainers:      []contract.Trainer{{Name: d.trainer, Share: 1}},
			ChecksFencing: d.checksFencing,
			Rollout: &contract.RolloutTerms{
				MaxVersionLag: d.maxVersionLag, IdleWeight: d.idleWeight, MaxSwappingFraction: maxSwappingFraction,
				ScoringService: d.scoringService, ScoringCall: callScore,
			},
		},
		{Name: d.staffService, Kind: machine.Sampler, Calls: generate, Backends: backends[d.staffService], ChecksFencing: d.checksFencing},
		{Name: d.bookingService, Kind: machine.Plain, Backends: backends[d.bookingService], Calls: []contract.Call{
			{Name: callBook, Priority: contract.Staff, RetryWindowS: 60},
			{Name: callList, Idempotent: true, Priority: contract.Staff},
		}},
		{Name: d.askByKeyService, Kind: machine.Plain, Backends: backends[d.askByKeyService], Calls: []contract.Call{
			{Name: callPost, Priority: contract.Staff, AskByKey: true, RetryWindowS: 60},
		}},
		{Name: d.scoringService, Kind: machine.Plain, Backends: backends[d.scoringService], Calls: []contract.Call{
			{Name: callScore, Idempotent: true, Priority: contract.Rollout},
		}},
	}
	for i := range menuServiceCount {
		out = append(out, menuService(i, 1, backends[d.bookingService][0]))
	}
	return out
}
