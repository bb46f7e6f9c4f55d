/* Hand-over of finished samples to a trainer (P3).
 *
 * Two instances believe that they own the step; each produces every sample, restarts, and
 * answers take requests from its own copy. Answers are lost or arrive late. The trainer sends
 * what it has with every request and takes no answer but that to its present request.
 *
 * Properties: no sample reaches the trainer's batch twice; at the end it has all of them.
 *
 * Mutations: SERVER_CURSOR, ANY_ANSWER, LOST_IS_DELIVERED.
 */
#define SAMPLES 2
#define ALL 3
#define REQUESTS 5

byte finished[2];     /* samples that an instance has finished */
byte sent[2];         /* what an instance remembers to have sent, for the mutations */
byte restarts = 1;
byte have = 0;
byte batch[SAMPLES];  /* how often each sample reached the trainer */
byte request = 0;     /* number of the trainer's present request */
bool closed = false;

chan ask[2] = [2] of { byte, byte };    /* request number, have */
chan answer = [3] of { byte, byte };    /* request number, samples */

proctype Owner(byte i) {
  byte r, h, part;
  do
  :: atomic { (finished[i] & 1) == 0 -> finished[i] = finished[i] | 1 }
  :: atomic { (finished[i] & 2) == 0 -> finished[i] = finished[i] | 2 }
  :: atomic { restarts > 0 -> restarts--; finished[i] = 0; sent[i] = 0 }
  :: atomic { ask[i]?r,h ->
#if defined(SERVER_CURSOR) || defined(LOST_IS_DELIVERED)
       part = finished[i] & ~sent[i];
       sent[i] = sent[i] | part;
#else
       part = finished[i] & ~h;
#endif
#ifdef LOST_IS_DELIVERED
       part = part & ~h;
#endif
       if
       :: len(answer) < 3 -> answer!r,part     /* may be read late */
       :: true                                 /* lost */
       fi;
       r = 0; h = 0; part = 0 }
  :: atomic { closed && len(ask[i]) == 0 -> break }
  od
}

proctype Trainer() {
  byte r, part;
  bool open = false;    /* a request is outstanding */
  do
  :: atomic { !open && have != ALL && request < REQUESTS ->
       request++; open = true;
       if
       :: len(ask[0]) < 2 -> ask[0]!request,have
       :: len(ask[1]) < 2 -> ask[1]!request,have
       fi }
  /* the time for the answer is over; it may still arrive */
  :: atomic { open && request < REQUESTS -> open = false }
  :: atomic { answer?r,part ->
       if
#ifdef ANY_ANSWER
       :: true ->
#else
       :: r == request && open ->
#endif
          if :: (part & 1) != 0 -> batch[0]++ :: else fi;
          if :: (part & 2) != 0 -> batch[1]++ :: else fi;
          assert(batch[0] <= 1 && batch[1] <= 1);
          have = have | part; open = false
       :: else
       fi;
       r = 0; part = 0 }
  :: atomic { have == ALL -> closed = true; break }
  /* the bound of the model: the last requests find both owners done and lose no answer */
  :: atomic { request == REQUESTS && have != ALL && finished[0] == ALL && restarts == 0 ->
#if defined(LOST_IS_DELIVERED)
       part = finished[0] & ~sent[0] & ~have;
#else
       part = finished[0] & ~have;
#endif
       assert((have | part) == ALL);
       if :: (part & 1) != 0 -> batch[0]++ :: else fi;
       if :: (part & 2) != 0 -> batch[1]++ :: else fi;
       have = have | part; closed = true; part = 0;
       assert(batch[0] == 1 && batch[1] == 1);
       break }
  od
}

init { atomic { run Owner(0); run Owner(1); run Trainer() } }
