// Package rollout produces samples for trainers and delivers each of them exactly once.
//
// A trainer opens a step, takes finished samples and acknowledges the step. Every take carries a
// bitmap of the samples that the trainer already holds, so a take can be repeated at any instance.
// A sample in the bitmap is never delivered again, even if a hedge, a restart, another engine or
// another instance produced a second copy of it. Steps are not persisted: a new owner resumes a
// step from the trainer's bitmap.
package rollout
