/* Claims of one non-idempotent request at two instances (P5, P6).
 *
 * The caller sends attempt 1 to one instance and may repeat the key at the other one, before
 * or after it has heard of the first. Appends lose answers, arrive late, or fail in an outage;
 * claimers die; the back end's answer may be lost.
 *
 * Properties: the back end runs the key at most once; after a caller was told "not run" by its
 * last attempt the key has not run and does not run.
 *
 * Mutations: DISPATCH_UNCLAIMED, DISPATCH_SECOND, RECLAIM_OF_DEAD, NOT_RUN_ON_RETRY.
 */
#define LOGMAX 6
#define NONE 255

mtype = { claim, ran, released }
mtype kind[LOGMAX];
byte by[LOGMAX];       /* instance of a record; an end record belongs to its instance's claim */
byte size = 0;
bool up = true;
byte outages = 1;
byte runs = 0;
bool alive[2] = true;

mtype = { idle, working, didRun, gaveUp, unsure }
mtype knows[2] = idle;     /* what an instance knows of its own claim, lost with it */
bool everClaimed[2];       /* the instance has a claim in the log */

mtype = { waiting, answered, notRun, unknown }
mtype outcome[3] = waiting;  /* by attempt */
byte attempts = 0;           /* attempts started */
bool toldNotRun = false;     /* the last attempt was told "not run" and none was made since */

/* owner finds the first claim that is not released: claim order in the log. */
byte ok, oj, owner, ownerEnd;
inline findOwner() {
  ok = 0; owner = NONE; ownerEnd = 0;
  do
  :: ok < size ->
     if
     :: kind[ok] == claim && owner == NONE -> owner = by[ok]
     :: kind[ok] == released && owner == by[ok] -> owner = NONE
     :: kind[ok] == ran && owner == by[ok] -> ownerEnd = 1
     :: else
     fi;
     ok++
  :: else -> break
  od;
  ok = 0
}

inline append(k, i) { kind[size] = k; by[size] = i; size++ }

inline tell(a, what) {
  outcome[a] = what;
  if
  :: what == notRun && a == attempts -> assert(runs == 0); toldNotRun = true
  :: else
  fi
}

/* a late append of a claim whose answer was given up */
proctype Late(byte i) {
  atomic { up && size < LOGMAX -> append(claim, i) }
}

proctype Releaser(byte i) {
  /* the claim of a request that will never be dispatched is released when the log is back */
  if
  :: atomic { up && alive[i] && size < LOGMAX -> append(released, i) }
  :: !alive[i]
  fi
}

proctype Attempt(byte a, i) {
  bool claimed = false, dispatched = false;
  byte tries = 2;
  knows[i] = working;
  do
  :: !alive[i] -> atomic { if :: outcome[a] == waiting -> outcome[a] = unknown :: else fi; goto end }
  :: alive[i] && !claimed && tries > 0 ->
     tries--;
     atomic {
       if
       :: up && size < LOGMAX -> append(claim, i); claimed = true  /* stored; the answer may be lost, the read back finds it */
       :: up && size < LOGMAX -> run Late(i); claimed = false
#ifdef DISPATCH_UNCLAIMED
          ; runs++; assert(runs <= 1); knows[i] = didRun; tell(a, answered); goto end
#endif
       :: !up -> tries = 0
       :: up && size >= LOGMAX -> tries = 0
       fi
     }
  :: alive[i] && !claimed && tries == 0 ->
     /* no claim is known to be in the log: never dispatched */
     atomic {
       knows[i] = gaveUp;
#ifdef NOT_RUN_ON_RETRY
       tell(a, notRun);
#else
       if :: a == 1 -> tell(a, notRun) :: else -> tell(a, unknown) fi;
#endif
       run Releaser(i)
     };
     goto end
  :: alive[i] && claimed ->
     atomic {
       findOwner();
#ifdef DISPATCH_SECOND
       owner = i;
#endif
       if
       :: !alive[i] -> skip
       :: alive[i] && owner == i && knows[i] == working ->
          dispatched = true; runs++;
          assert(runs <= 1);
          assert(!toldNotRun || attempts > 1);
          if
          :: knows[i] = didRun; tell(a, answered);
             if :: up && size < LOGMAX -> append(ran, i) :: true fi
          :: knows[i] = unsure; tell(a, unknown)
          fi; owner = NONE; ownerEnd = 0;
          goto end
       :: else -> skip
       fi; owner = NONE; ownerEnd = 0
     };
     atomic {
       findOwner();
       if
       :: alive[i] && owner != NONE && owner != i && alive[owner] ->
          /* ask the claimer: join its run or replay its answer */
          if
          :: knows[owner] == didRun -> tell(a, answered); owner = NONE; ownerEnd = 0; goto end
          :: knows[owner] == unsure -> tell(a, unknown); owner = NONE; ownerEnd = 0; goto end
          :: knows[owner] == working || knows[owner] == gaveUp || knows[owner] == idle ->
             tell(a, unknown); owner = NONE; ownerEnd = 0; goto end
          fi
       :: alive[i] && owner != NONE && owner != i && !alive[owner] ->
#ifdef RECLAIM_OF_DEAD
          runs++; assert(runs <= 1);
#endif
          tell(a, unknown); owner = NONE; ownerEnd = 0; goto end
       :: else -> owner = NONE; ownerEnd = 0
       fi
     }
  od;
end: skip
}

proctype Caller() {
  atomic { attempts = 1; run Attempt(1, 0) };
  if
  :: true ->       /* repeats the key, whether or not the first attempt has answered */
     atomic { attempts = 2; toldNotRun = false; run Attempt(2, 1) }
  :: outcome[1] != waiting -> skip
  fi
}

proctype Faults() {
  do
  :: atomic { up && outages > 0 -> outages--; up = false }
  :: atomic { !up -> up = true }
  :: atomic { alive[0] && alive[1] -> alive[0] = false }
  :: atomic { alive[0] && alive[1] -> alive[1] = false }
  :: atomic { up -> break }
  od
}

/* A refusal that was true when it was given stays true. */
active proctype Monitor() {
end: do
  :: atomic { toldNotRun && runs > 0 -> assert(false) }
  od
}

init { atomic { run Caller(); run Faults() } }
