/* Acceptance of release notes (P9).
 *
 * Two operators race to change one object on the same base; a third bases its change on the
 * winner's. Appends lose answers, are repeated after reading back by id, and may still reach
 * the log late; the log has an outage. Every instance folds the log alike, so the fold of the
 * log stands for all of them; spread.pml covers how they get it.
 *
 * Properties, checked at every append: of the notes on one base at most one is accepted; the
 * verdict that an operator was told is and stays the verdict of the log.
 *
 * Mutations: LAST_WRITER_WINS, FORGET_IDS, TRUST_ANSWER.
 */
#define LOGMAX 5

byte logid[LOGMAX];   /* note of each record */
byte size = 0;
bool up = true;
byte outages = 1;

byte told[4];         /* verdict told to the operator of a note: 0 none, 1 accepted, 2 refused */
byte base[4];         /* base revision of a note */
byte finished = 0;    /* operators that have their verdict */

/* fold computes the verdict of note id over the first n records, and the current revision. */
byte fk, frev, fverdict, fseen;
inline fold(id, n) {
  fk = 0; frev = 0; fverdict = 0; fseen = 0;
  do
  :: fk < n ->
     if
#ifdef FORGET_IDS
     :: false -> skip
#else
     :: (fseen & (1 << logid[fk])) != 0 -> skip   /* same id again: same verdict */
#endif
     :: else ->
        fseen = fseen | (1 << logid[fk]);
        if
#ifdef LAST_WRITER_WINS
        :: true ->
#else
        :: frev <= base[logid[fk]] ->
#endif
           frev = fk + 1;
           if :: logid[fk] == id -> fverdict = 1 :: else fi
        :: else -> if :: logid[fk] == id -> fverdict = 2 :: else fi
        fi
     fi;
     fk++
  :: else -> break
  od;
  fk = 0; fseen = 0
}

byte winners;
/* checkLog checks that of the two notes on the same base at most one is accepted, and that
 * every verdict that was told is still the verdict of the log. */
inline checkLog() {
  fold(1, size); assert(told[1] == 0 || told[1] == fverdict); winners = (fverdict == 1 -> 1 : 0);
  fold(2, size); assert(told[2] == 0 || told[2] == fverdict); winners = winners + (fverdict == 1 -> 1 : 0);
  fold(3, size); assert(told[3] == 0 || told[3] == fverdict);
  assert(winners <= 1); winners = 0; fverdict = 0; frev = 0
}

/* an append that reaches the log late, or never */
proctype Late(byte id) {
  if
  :: atomic { up && size < LOGMAX -> logid[size] = id; size++; checkLog() }
  :: true
  fi
}

proctype Operator(byte id) {
  byte tries = 2;
  bool done = false;
  do
  :: !done && up ->
     atomic {
       /* read back by id before every append: feed.publish */
       if
       :: up ->
          fold(id, size);
          if
          :: fverdict != 0 -> told[id] = fverdict; done = true
          :: else ->
             if
             :: tries > 0 && size < LOGMAX ->
                tries--;
                if
                :: logid[size] = id; size++        /* stored, whether or not the answer arrives */
#ifdef TRUST_ANSWER
                   ; told[id] = 1; done = true     /* accepted without reading the log's order */
#endif
                :: id == 1 -> run Late(id)       /* not there at the read back */
                :: id != 1                       /* never stored */
                fi
             :: else -> done = true              /* gives up without a verdict */
             fi
          fi;
          fverdict = 0; frev = 0; checkLog()
       :: else
       fi
     }
  :: done -> break
  od;
  atomic {
    checkLog(); finished++
  }
}

/* The third operator waits for a winner and bases its note on it. */
proctype Successor() {
  atomic {
    if
    :: told[1] == 1 -> fold(1, size)
    :: told[2] == 1 -> fold(2, size)
    :: finished == 2 -> finished++; goto end
    fi;
    base[3] = frev; fverdict = 0; frev = 0
  }
  run Operator(3);
end: skip
}

proctype Outage() {
  do
  :: atomic { up && outages > 0 -> outages--; up = false }
  :: atomic { !up -> up = true }
  :: atomic { up && outages == 0 -> break }
  od
}

init {
  atomic {
    run Operator(1); run Operator(2); run Successor(); run Outage()
  }
}
