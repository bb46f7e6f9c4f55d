/* Spreading of the control stream (P9).
 *
 * Instances tail the log, pull from peers, crash and boot from the log or from peers; the log
 * grows and has outages. A state is the fold of a prefix of the log, so its offset stands for
 * it; wrong[i] marks a state whose content differs from the log's, as damaged memory would make.
 *
 * Properties: the offset of a run never moves backwards; what was in effect at every instance
 * is in effect at every instance that is ready afterwards; when the faults have ended, every
 * instance holds the whole log, with the log's content.
 *
 * Mutations: ADOPT_OLDER, BOOT_EMPTY, NO_CHAIN_CHECK, NO_AUDIT.
 */
#define N 3
#define LOGMAX 3

byte size = 0;
bool up = true, faultsOver = false;
byte outages = 1, crashes = 2, damages = 1;
bool ready[N], wrong[N], suspect[N];
byte off[N];
byte floorAll = 0;    /* highest offset that was applied at every instance at once */

/* settle notes what is in effect everywhere. */
inline settle() {
  if
  :: ready[0] && ready[1] && ready[2] ->
     if
     :: off[0] > floorAll && off[1] > floorAll && off[2] > floorAll ->
        floorAll = (off[0] < off[1] -> off[0] : off[1]);
        floorAll = (off[2] < floorAll -> off[2] : floorAll)
     :: else
     fi
  :: else
  fi
}

/* The chain hash shows whether two states continue each other. */
#define A ((i + 1) % N)
#define B ((i + 2) % N)
#define CAN_PULL(i, j) (ready[i] && ready[j] && wrong[i] == wrong[j])
#define DIFFERENT(i, j) (ready[i] && ready[j] && wrong[i] != wrong[j] && !(suspect[i] && suspect[j]))

byte before;
inline pull(i, j) { before = off[i]; off[i] = off[j]; assert(off[i] >= before); before = 0; settle() }

inline started(i) { ready[i] = true; assert(off[i] >= floorAll); settle() }

proctype Instance(byte i) {
  byte j;
  do
  :: atomic { ready[i] && up && off[i] < size -> off[i]++; settle() }        /* feed.poll */
#ifdef ADOPT_OLDER
  :: atomic { CAN_PULL(i, A) && off[A] != off[i] -> pull(i, A) }
#else
  :: atomic { CAN_PULL(i, A) && off[A] > off[i] -> pull(i, A) }             /* feed.pullFrom */
  :: atomic { CAN_PULL(i, B) && off[B] > off[i] -> pull(i, B) }
#endif
#ifndef NO_CHAIN_CHECK
  :: atomic { DIFFERENT(i, A) -> suspect[i] = true; suspect[A] = true }     /* feed.comparePosition */
  :: atomic { DIFFERENT(i, B) -> suspect[i] = true; suspect[B] = true }
#endif
#ifndef NO_AUDIT
  :: atomic { ready[i] && suspect[i] && up ->                               /* feed.rebuild */
       wrong[i] = false; off[i] = size; suspect[i] = false; settle() }
#endif
  :: atomic { ready[i] && crashes > 0 && !faultsOver ->
       crashes--; ready[i] = false; off[i] = 0; wrong[i] = false; suspect[i] = false }
  :: atomic { ready[i] && damages > 0 && !faultsOver -> damages--; wrong[i] = true }
  :: atomic { !ready[i] && up -> off[i] = size; started(i) }                  /* feed.buildFromLog */
  :: atomic { !ready[i] && !up ->
#ifdef BOOT_EMPTY
       started(i)
#else
       if :: j = A :: j = B fi;                                             /* feed.fetchPeerState */
       if
       :: ready[j] -> off[i] = off[j]; wrong[i] = wrong[j]; suspect[i] = true; started(i)
       :: else
       fi;
       j = 0
#endif
     }
  :: atomic { faultsOver && ready[0] && ready[1] && ready[2] && size == LOGMAX &&
       off[0] == size && off[1] == size && off[2] == size &&
       !suspect[0] && !suspect[1] && !suspect[2] && !wrong[0] && !wrong[1] && !wrong[2] -> break }
  od
}

proctype Environment() {
  do
  :: atomic { up && size < LOGMAX -> size++ }
  :: atomic { up && outages > 0 -> outages--; up = false }
  :: atomic { !up -> up = true }
  :: atomic { up && size == LOGMAX -> faultsOver = true; break }
  od
}

init {
  atomic {
    ready[0] = true; ready[1] = true; ready[2] = true;
    run Instance(0); run Instance(1); run Instance(2); run Environment()
  }
}
