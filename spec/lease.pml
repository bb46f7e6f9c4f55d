/* Leases with paused holders and engines that ignore fencing tokens (lease safety).
 *
 * The log decides acquires and renewals in order. Each instance acts on what it has seen and
 * on its own clock; all clocks run at one rate, but any instance may stand still between two
 * of its steps while time goes on. Times are kept as what remains of them, so that the search
 * covers every length of time; only the number of accepted records is bounded. An order dies
 * at its deadline; engines check nothing else.
 *
 * Property: once an engine has started an order of an epoch it starts none of an older epoch.
 *
 * Mutations: NO_SUCCESSOR_WAIT, NO_TTL_WAIT, VALID_FROM_ANSWER, UNNAMED_TAKEOVER,
 * RELEASE_IN_WAIT, DEADLINE_AFTER_CHECK.
 */
#define N 3
#define TTL 3
#define LIFE 2
#define RECORDS 3    /* accepted acquires and renewals */
#define NONE 255

/* The fold of the log: instance 0 holds the lease at the start. */
byte epoch = 1, renewed = 1, records = 1;
bool released = false;
byte started = 0;    /* highest epoch of which an engine has started an order */

byte mine[N];        /* epoch held, 0 if none */
byte seenEpoch[N], seenRenewed[N];
bool seenReleased[N];
byte valid[N];       /* rest of the validity */
byte sending[N];     /* rest of the validity that a record in flight would give */
byte standby[N];     /* rest of a candidate's wait */
byte wait[N];        /* rest of the successor's wait */
byte order[N];       /* epoch of an order in flight, 0 if none */
byte life[N];        /* rest of that order's life */

inline down(x) { if :: x > 0 -> x-- :: else fi }

byte k;
active proctype Clock() {
end: do
  :: atomic {
       k = 0;
       do
       :: k < N -> down(valid[k]); down(sending[k]); down(standby[k]); down(wait[k]); down(life[k]); k++
       :: else -> break
       od;
       k = 0 }
  od
}

inline drop(i) { mine[i] = 0; valid[i] = 0; wait[i] = 0; seenEpoch[i] = 0; seenRenewed[i] = 0; standby[i] = 0 }

#ifdef VALID_FROM_ANSWER
#define CONFIRMED(i) TTL
#else
#define CONFIRMED(i) sending[i]
#endif

proctype Instance(byte i) {
  bool contested = false;
end: do
  /* observe the table, possibly late: Manager.observe */
  :: atomic { mine[i] == 0 && (seenEpoch[i] != epoch || seenRenewed[i] != renewed || seenReleased[i] != released) ->
       seenEpoch[i] = epoch; seenRenewed[i] = renewed; seenReleased[i] = released;
       standby[i] = (released -> 0 : TTL) }
  /* acquire or take over: Manager.tryAcquire, Table.Acquire, Manager.confirmAcquired */
  :: mine[i] == 0 && seenEpoch[i] != 0 && records < RECORDS &&
#ifndef NO_TTL_WAIT
     standby[i] == 0 &&
#endif
     true ->
     atomic { sending[i] = TTL; contested = !seenReleased[i] };
     atomic {
       if
       :: records < RECORDS && epoch == seenEpoch[i] &&
#ifndef UNNAMED_TAKEOVER
          renewed == seenRenewed[i] &&
#endif
          released == seenReleased[i] ->
          records++; epoch = records; renewed = records; released = false; mine[i] = epoch
       :: else -> sending[i] = 0
       fi;
       seenEpoch[i] = 0; seenRenewed[i] = 0; standby[i] = 0
     }
     if
     :: mine[i] != 0 ->
        atomic { valid[i] = CONFIRMED(i); sending[i] = 0;
#ifndef NO_SUCCESSOR_WAIT
          wait[i] = (contested -> LIFE : 0);
#endif
          contested = false }
     :: else -> contested = false
     fi
  /* renew: Manager.Renew, Table.Renew. Its answer may come late or never. With three records
   * a renewal by another instance could be followed by nothing. */
  :: i == 0 && mine[i] != 0 && records < RECORDS ->
     sending[i] = TTL;
     if
     :: atomic { epoch == mine[i] && !released && records < RECORDS -> records++; renewed = records };
        if
        :: atomic { valid[i] = (CONFIRMED(i) > valid[i] -> CONFIRMED(i) : valid[i]); sending[i] = 0 }
        :: sending[i] = 0
        fi
     :: sending[i] = 0
     fi
  /* give an order: its deadline is set before the check, Held.Valid */
  :: mine[i] != 0 && order[i] == 0 && valid[i] > 0 && wait[i] == 0 ->
#ifndef DEADLINE_AFTER_CHECK
     life[i] = LIFE;
#endif
     if
     :: atomic { valid[i] > 0 && wait[i] == 0 -> order[i] = mine[i] }
#ifdef DEADLINE_AFTER_CHECK
        ; life[i] = LIFE
#endif
     :: atomic { valid[i] == 0 || wait[i] > 0 -> life[i] = 0 }
     fi
  /* the order reaches the engine, or is lost or refused as too late */
  :: atomic { order[i] != 0 ->
       if
       :: life[i] > 0 -> assert(order[i] >= started); started = order[i]
       :: true
       fi;
       order[i] = 0; life[i] = 0 }
  /* release: Held.Release, with no order outstanding and not during the successor's wait */
  :: atomic { mine[i] != 0 && order[i] == 0 && epoch == mine[i] && !released &&
#ifndef RELEASE_IN_WAIT
       wait[i] == 0 &&
#endif
       true -> released = true; drop(i) }
  /* notice the loss, give up, or be replaced: an order of the old process stays in flight */
  :: atomic { mine[i] != 0 && (epoch != mine[i] || valid[i] == 0) -> drop(i) }
  od
}

init {
  atomic {
    mine[0] = 1; valid[0] = TTL;
    run Instance(0); run Instance(1); run Instance(2)
  }
}
