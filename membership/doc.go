// Package membership keeps the view of live entry instances. It probes peers over link in the
// manner of SWIM: a constant number of probes per period, indirect probes after a miss,
// suspicion before death, and statements about members that travel on probes.
//
// An incarnation names one run of an instance and never changes during the run. Statements about
// one run are ordered by a refutation number that only the run itself raises. A higher
// incarnation replaces a lower one for good, so an old run never returns; a run that hears of a
// higher incarnation of its own id does not refute it and reports Superseded.
package membership
