// Package claim lets a non-idempotent request run at most once. A request runs only after a
// claim for its key is known to be the first one in the log, so the log's order decides between
// instances; no lease and no clock is involved. Claims are group-committed: one append in flight
// per stream. Whoever finds a key claimed asks the claimer over link, joins its run or replays
// its kept answer.
//
// The fold of a claim stream is the same at every instance: it uses the records, their order
// and the log's own record times, never a local clock.
package claim
