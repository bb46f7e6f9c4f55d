package demo

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"

	"github.com/cicadasill/cicadasill/standin/callers"
	"github.com/cicadasill/cicadasill/standin/trainer"
)

// Report is the result of a run.
type Report struct {
	Deployment string          `json:"deployment"`
	Seed       uint64          `json:"seed"`
	DurationS  float64         `json:"duration_s"`
	Faults     []InjectedFault `json:"faults"`
	Requests   Requests        `json:"requests"`
	Samples    Samples         `json:"samples"`
	Trainers   Trainers        `json:"trainers"`
	Notes      Notes           `json:"notes"`
	Weights    Weights         `json:"weights"`
	Control    Control         `json:"control"`
	Link       Link            `json:"link"`
	Host       Host            `json:"host"`
	// BrokenPromises lists the promises that the run saw broken.
	BrokenPromises []BrokenPromise `json:"broken"`
	// NotJudged lists time bounds that were exceeded while the machine was starved of processor time (see
	// Host), so that they say nothing about the instances.
	NotJudged []BrokenPromise `json:"not_judged,omitempty"`
	// Groups holds the outcomes of each group of callers, Trainer the trainer's ledger.
	Groups  map[string]callers.Counts `json:"groups"`
	Trainer trainer.Ledger            `json:"trainer"`
}

// InjectedFault is a fault that was injected. Its times are in seconds from the start of the load.
type InjectedFault struct {
	Name   Fault   `json:"name"`
	Target string  `json:"target,omitempty"`
	FromS  float64 `json:"from_s"`
	ToS    float64 `json:"to_s"`
}

// BrokenPromise is a broken promise: its identifier, such as P1, and what broke it.
type BrokenPromise struct {
	ID          string `json:"promise"`
	Description string `json:"what"`
}

// Requests holds the outcomes and latencies of the staff callers' requests.
type Requests struct {
	Sent          int64            `json:"sent"`
	Answered      int64            `json:"answered"`
	RefusedNotRun int64            `json:"refused_not_run"`
	Unknown       int64            `json:"unknown"`
	FalseRefusals int64            `json:"false_refusals"`
	Doubled       int64            `json:"doubled"`
	Lost          int64            `json:"lost"`
	MixedUp       int64            `json:"mixed_up"`
	Misattributed int64            `json:"misattributed"`
	Skipped       int64            `json:"skipped"`
	Interrupted   int64            `json:"interrupted_by_planned_stop"`
	P50Ms         float64          `json:"p50_ms"`
	P99Ms         float64          `json:"p99_ms"`
	Reasons       map[string]int64 `json:"reasons"`
}

// Samples counts the samples that the trainers received.
type Samples struct {
	Delivered     int64 `json:"delivered"`
	Duplicate     int64 `json:"duplicate"`
	Missing       int64 `json:"missing"`
	OverAge       int64 `json:"over_age"`
	Misattributed int64 `json:"misattributed"`
	Steps         int64 `json:"steps"`
}

// Trainers holds the trainers' idle time and the staleness of their samples.
type Trainers struct {
	IdleFraction      float64 `json:"idle_fraction"`
	IdleFloorFraction float64 `json:"idle_floor_fraction"`
	StalenessP50      int64   `json:"staleness_p50"`
	StalenessP99      int64   `json:"staleness_p99"`
}

// Notes holds the outcomes of the operators' release notes.
type Notes struct {
	Published   int64            `json:"published"`
	Accepted    int64            `json:"accepted"`
	InForceP99S float64          `json:"in_force_p99_s"`
	Reverted    int64            `json:"reverted"`
	Pending     int64            `json:"pending"`
	Refusals    map[string]int64 `json:"refusals"`
}

// Weights describes the distribution of announced versions to the samplers.
type Weights struct {
	Versions          int64   `json:"versions"`
	OnAllSamplersP99S float64 `json:"on_all_samplers_p99_s"`
	MaxSwapping       int     `json:"max_swapping"`
	// Pending is the number of versions that were not on all samplers at the end.
	Pending int `json:"pending"`
}

// Control is the cost of the control plane, measured while the instances have no load.
type Control struct {
	CoreFractionPerNode float64 `json:"core_fraction_per_node"`
	// BytesPerSPerNode is the sum of the bytes exchanged with peers, the log and the instance list.
	BytesPerSPerNode     float64 `json:"bytes_per_s_per_node"`
	PeerBytesPerSPerNode float64 `json:"peer_bytes_per_s_per_node"`
	LogBytesPerSPerNode  float64 `json:"log_bytes_per_s_per_node"`
	ListBytesPerSPerNode float64 `json:"list_bytes_per_s_per_node"`
	// BackendPollBytesPerSPerNode counts the bytes of the back ends' health and load reports.
	BackendPollBytesPerSPerNode float64 `json:"backend_poll_bytes_per_s_per_node"`
}

// Link is the traffic between regions.
type Link struct {
	BytesByCause map[string]int64 `json:"bytes_by_cause"`
}

// Host reports how late timers fired in the process that runs all instances. Late timers mean that
// the machine has too little processor time for the demonstration.
type Host struct {
	TimerLateP50Ms float64 `json:"timer_late_p50_ms"`
	TimerLateP99Ms float64 `json:"timer_late_p99_ms"`
	TimerLateMaxMs float64 `json:"timer_late_max_ms"`
}

// starvedTimerLateMs is the lateness of timers, at the 99th percentile, from which on the machine counts as
// starved of processor time: the time that notes take is then not known to the interval at which it is
// measured.
const starvedTimerLateMs = float64(inForcePollInterval / time.Millisecond)

// Starved reports whether the process had too little processor time for its time bounds to be judged.
func (h Host) Starved() bool { return h.TimerLateP99Ms > starvedTimerLateMs }

// HasBrokenPromises reports whether the run saw a broken promise.
func (r *Report) HasBrokenPromises() bool { return len(r.BrokenPromises) > 0 }

// WriteText writes the report as a table for people.
func (r *Report) WriteText(out io.Writer) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)
	row := func(name, format string, args ...any) { fmt.Fprintf(w, "%s\t%s\n", name, fmt.Sprintf(format, args...)) }
	row("deployment", "%s, seed %d, %.1f s", r.Deployment, r.Seed, r.DurationS)
	for _, f := range r.Faults {
		row("fault", "%s %s from %.1f s to %.1f s", f.Name, f.Target, f.FromS, f.ToS)
	}
	q := r.Requests
	row("requests", "%d sent, %d answered, %d refused (not run), %d unknown, %d lost, %d skipped",
		q.Sent, q.Answered, q.RefusedNotRun, q.Unknown, q.Lost, q.Skipped)
	row("", "%d false refusals, %d doubled, %d mixed up; p50 %.1f ms, p99 %.1f ms",
		q.FalseRefusals, q.Doubled, q.MixedUp, q.P50Ms, q.P99Ms)
	if len(q.Reasons) > 0 {
		row("reasons", "%s", formatCounts(q.Reasons))
	}
	s := r.Samples
	row("samples", "%d delivered in %d steps; %d duplicate, %d missing, %d over age, %d misattributed",
		s.Delivered, s.Steps, s.Duplicate, s.Missing, s.OverAge, s.Misattributed)
	row("trainers", "idle %.1f%% (floor %.1f%%), staleness p50 %d, p99 %d versions",
		100*r.Trainers.IdleFraction, 100*r.Trainers.IdleFloorFraction, r.Trainers.StalenessP50, r.Trainers.StalenessP99)
	row("notes", "%d published, %d accepted, in force everywhere p99 %.2f s, %d reverted, %d pending",
		r.Notes.Published, r.Notes.Accepted, r.Notes.InForceP99S, r.Notes.Reverted, r.Notes.Pending)
	row("weights", "%d versions, on all samplers p99 %.2f s, at most %d samplers swapped at once, %d pending",
		r.Weights.Versions, r.Weights.OnAllSamplersP99S, r.Weights.MaxSwapping, r.Weights.Pending)
	k := r.Control
	row("control", "per node without load: %.2f%% of a core, %.0f B/s (peers %.0f, log %.0f, list %.0f), and %.0f B/s to poll back ends",
		100*k.CoreFractionPerNode, k.BytesPerSPerNode, k.PeerBytesPerSPerNode, k.LogBytesPerSPerNode, k.ListBytesPerSPerNode, k.BackendPollBytesPerSPerNode)
	row("link", "%s", formatCounts(r.Link.BytesByCause))
	row("host", "timers late by p50 %.1f ms, p99 %.1f ms, at most %.1f ms", r.Host.TimerLateP50Ms, r.Host.TimerLateP99Ms, r.Host.TimerLateMaxMs)
	if len(r.BrokenPromises) == 0 {
		row("promises", "none broken")
	}
	for _, b := range r.BrokenPromises {
		row("BROKEN", "%s: %s", b.ID, b.Description)
	}
	for _, b := range r.NotJudged {
		row("not judged", "%s: %s, on a starved machine", b.ID, b.Description)
	}
	return w.Flush()
}

// formatCounts lists the counts in the order of their names.
func formatCounts(m map[string]int64) string {
	names := make([]string, 0, len(m))
	for name := range m {
		names = append(names, name)
	}
	slices.Sort(names)
	parts := make([]string, 0, len(names))
	for _, name := range names {
		parts = append(parts, fmt.Sprintf("%s %d", name, m[name]))
	}
	if len(parts) == 0 {
		return "none"
	}
	return strings.Join(parts, ", ")
}
