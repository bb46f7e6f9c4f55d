// Package claim runs non-idempotent requests at most once across all instances. An instance
// dispatches a request only after it knows that its claim is the first one for the request's
// key in a shared log. The order of the log therefore decides between instances, without
// leases or clocks. Claims are group-committed: each stream of an instance has at most one
// append in flight. An instance that finds a key claimed by another one asks that instance,
// the claimer, over link; it waits for the claimer's run or replays the answer that the
// claimer kept.
//
// All instances derive the same state from a claim stream, because the state depends only on
// the records, their order and the record times that the log assigned, never on a local clock.
package claim
