// Package membership maintains each instance's view of the live entry instances. It detects
// failures with a variant of the SWIM protocol: a constant number of probes per interval, indirect
// probes after a missed probe, a suspicion timeout before a member is declared dead, and
// membership updates piggybacked on probes.
//
// An incarnation identifies one run of an instance and never changes during the run. Updates about
// one run are ordered by a refutation number that only the run itself increments. A higher
// incarnation permanently replaces a lower one, so a superseded run never reappears in a view. A
// run that learns of a higher incarnation of its own id does not refute it and closes Superseded.
package membership
