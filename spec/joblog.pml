/* Conditional appends to a compacted log (package changelog), as batch jobs use them.
 *
 * Two instances try to add the same record: a client submits a job at both, or two drivers list
 * the same item. Each keeps a copy of the partition and appends under the condition that the
 * partition ends where its copy ends. An append is answered, lost (done without an answer) or
 * late (executed at any later moment if its condition then holds).
 *
 * Properties: the record stands in the log at most once, and an instance that has said "refused"
 * never finds it there because of its own append. What makes an instance add the record may end
 * between two attempts; it then says "refused" once none of its earlier attempts can take effect.
 *
 * Mutations: UNCONDITIONAL appends without the condition; REFUSE_UNKNOWN answers "refused" after
 * an append with an unknown outcome; NO_FENCE does so when there is nothing left to do.
 */
#define SIZE 7          /* capacity of the log */
#define NONE 0
#define FILLER 3        /* a record of somebody else */
#define TRIES 3

byte log[SIZE];
byte end = 0;
byte copies = 0;        /* how often the record stands in the log */
bool late[2];           /* an append of the instance is still under way */
byte late_asof[2];
bool refused[2];
bool appended[2];       /* an append of the instance has taken effect */

inline execute(i, asof) {
#ifdef UNCONDITIONAL
  ok = (end < SIZE);
#else
  ok = (end == asof && end < SIZE);
#endif
  if
  :: ok -> log[end] = 1 + i; end++; copies++; appended[i] = true;
           assert(copies <= 1); assert(!refused[i])
  :: else
  fi
}

/* Appends a record without a value, which keeps appends that expect the same end from taking effect. */
inline fence(asof) {
  ok = (end == asof && end < SIZE);
  if
  :: ok -> log[end] = FILLER; end++
  :: else
  fi
}

proctype instance(byte i) {
  byte asof = 0; byte n = 0; bool ok; bool known; bool unknown = false;
  byte open = 0;        /* the highest end that an append of unknown outcome expected */
  do
  :: n < TRIES ->
     n++;
     /* read: the copy is current up to asof */
     atomic { asof = end; known = (copies > 0) }
     if
     :: known -> break                       /* accepted: by itself or by the other one */
     :: !known                                /* there is room */
     :: !known ->                             /* there is none any more */
#ifdef NO_FENCE
        atomic { assert(!appended[i]); refused[i] = true }; break
#else
        if
        :: !unknown || open < asof -> atomic { assert(!appended[i]); refused[i] = true }; break
        :: else ->
           if
           :: atomic { fence(asof) };                   /* answered */
              if
              :: ok -> atomic { assert(!appended[i]); refused[i] = true }; break
              :: else -> goto next                      /* a conflict: read again */
              fi
           :: atomic { fence(asof) }; goto next           /* answer lost */
           :: true -> goto next                           /* not done, or late for good */
           fi
        fi
#endif
     fi;
     if
     :: atomic { execute(i, asof) };                      /* answered */
        if :: ok -> break :: else fi                    /* a conflict: read again */
     :: atomic { execute(i, asof); unknown = true; open = asof }   /* answer lost */
     :: atomic { !late[i] -> late[i] = true; late_asof[i] = asof; unknown = true; open = asof }
     :: true                                            /* not done */
     fi;
next: skip
  :: n >= TRIES ->
     /* the caller's patience ends */
#ifdef REFUSE_UNKNOWN
     atomic { if :: !appended[i] -> refused[i] = true :: else fi };
#else
     atomic { if :: !unknown && !appended[i] -> refused[i] = true :: else fi };
#endif
     break
  od
}

/* Executes late appends at any moment. */
proctype network() {
  bool ok;
  do
  :: atomic { late[0] -> execute(0, late_asof[0]); late[0] = false }
  :: atomic { late[1] -> execute(1, late_asof[1]); late[1] = false }
  :: timeout -> break
  od
}

/* Another writer of the partition, so that conditions fail. */
proctype other() {
  atomic { if :: end < SIZE -> log[end] = FILLER; end++ :: else fi }
}

init { atomic { run instance(0); run instance(1); run network(); run other() } }
