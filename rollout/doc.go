// Package rollout produces samples for trainers and delivers each of them exactly once.
//
// A trainer opens a step, takes finished samples and acknowledges the step. Every take states
// which samples the trainer already has, so a take can be repeated at any instance: what the
// trainer has is never delivered again, whichever engine, hedge, restart or instance produced
// another copy. Nothing of a step is persisted; a new owner starts from the trainer's bitmap.
package rollout
