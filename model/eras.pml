/*
 * A store that is restored from an older copy: an operator who writes the
 * newest configuration again, VMs that read the store whole or the changes after
 * a version, and that share rows and claims.
 *
 * Each restore begins an era. The store gives versions out again that it had
 * given out before. Answers may arrive at any later time, messages may be lost,
 * and a copy may be of an earlier era. VMs order what they read by era and
 * version. A claim states that the table has not changed after a version, and
 * which configuration is in force on its sender.
 *
 * Properties:
 *   The configuration in force on a process never falls.
 *   Once the operator has written again and no more faults come, a VM has the
 *   newest configuration after two calls, or if it has evidence, its own or a
 *   peer's, of an answer that came later.
 *   A key that configuration 1 withdraws and that a process has refused once is
 *   not accepted again by it.
 *
 * There are two VMs, one change, two restores and one restart. The answers to VM 0 may be late, those to
 * VM 1 come at once: it may call as rarely as it likes.
 *
 * Not modelled: time, so that a VM may use its configuration while it reads the
 * newest; and a VM that restarts and reads the copy before it has heard of the
 * newer configuration: it accepts the key until it has.
 *
 * Each of these defines adds a mistake that must violate a property:
 *   MISTAKE_ERA      orders answers by version alone
 *   MISTAKE_DELTA    applies the changes after a version of another era
 *   MISTAKE_FALL     takes the older configuration of a new era
 *   MISTAKE_CLAIM    compares its version with that of a claim whatever their eras are
 *   MISTAKE_RELAY    applies rows that a peer has read in another era
 *   MISTAKE_FORGET   forgets in a new era that a newer configuration was in force
 */

#define VMS 2
#define CHANGES 1
#define RESTORES 2
#ifdef CORRECT
#define RESTARTS 1
#else
#define RESTARTS 0 /* no mistake needs one */
#endif
#define VERSIONS 2 /* given out while the operator need not write again */

#define NEWER(x, y) ((x) > (y) -> (x) : (y))

/* The store. The row holds a configuration and was written at a version. */
byte era = 0;
byte version = 1;
byte row = 1;
byte stored = 0;
bit isCopied = 0;
byte copyVersion = 0;
byte copyRow = 0;
byte copyStored = 0;
byte restores = 0;

byte newest = 0; /* the operator's configuration */
bit undone = 0;  /* the store was restored and the operator has not written since */
bit calm = 0;    /* no more faults and changes come */
byte restarts = 0;

/* The VMs. */
bit started[VMS];     /* the configuration has been read once */
byte inForce[VMS];
byte heard[VMS];      /* newest configuration that was in force on the VM or a peer */
byte vmEra[VMS];
byte vmVersion[VMS];
byte lastChange[VMS]; /* version at which the row was last written */
bit loaded[VMS];      /* the table was read whole in the era */
bit evidence[VMS];    /* an answer that was made in calm confirms the configuration */
bit refused[VMS];
byte calls[VMS];      /* calls that began in calm and have ended */

/* The call of each VM. */
#define NONE 0
#define SENT 1
#define ANSWERED 2
byte call[VMS];
bit whole[VMS];
byte after[VMS];
bit beganCalm[VMS];
byte answerEra[VMS];
byte answerVersion[VMS];
byte answerRow[VMS];
byte answerStored[VMS];
bit answerCalm[VMS];

byte i, j;

#ifdef MISTAKE_ERA
#define OLDER(v) (answerVersion[v] < vmVersion[v])
#define IS_NEW_ERA(x, v) (false)
#else
#define OLDER(v) (answerEra[v] < vmEra[v] || answerEra[v] == vmEra[v] && answerVersion[v] < vmVersion[v])
#define IS_NEW_ERA(x, v) ((x) > vmEra[v])
#endif
#ifdef MISTAKE_DELTA
#define BASED(v) (true)
#else
#define BASED(v) (whole[v] || loaded[v])
#endif
#ifdef MISTAKE_CLAIM
#define SAME_ERA(x, v) (true)
#else
#define SAME_ERA(x, v) ((x) == vmEra[v])
#endif
#ifdef MISTAKE_RELAY
#define RELAYED_ERA(x, v) (true)
#else
#define RELAYED_ERA(x, v) ((x) == vmEra[v])
#endif

#define ACCEPTS(v) (started[v] && inForce[v] == 0 && heard[v] == 0)
#define CHECK_EVIDENCE(v) assert(!evidence[v] || inForce[v] == newest)

inline beginEra(v, x) {
  vmEra[v] = x;
  vmVersion[v] = 0;
  lastChange[v] = 0;
  loaded[v] = 0;
  evidence[v] = 0;
#ifdef MISTAKE_FORGET
  heard[v] = inForce[v]
#endif
}

/* VM v applies a row with configuration x. */
inline take(v, x) {
#ifdef MISTAKE_FALL
  assert(!started[v] || x >= inForce[v]);
  inForce[v] = x;
#else
  inForce[v] = NEWER(x, inForce[v]);
#endif
  started[v] = 1;
  heard[v] = NEWER(heard[v], inForce[v])
}

/* VM v has everything up to the version of the answer that VM w received. */
inline reach(v, w) {
  if
  :: answerRow[w] > after[w] && (answerRow[w] > vmVersion[v] || whole[w] && v == w) -> take(v, answerStored[w]); lastChange[v] = answerRow[w]
  :: else
  fi;
  vmVersion[v] = answerVersion[w];
  evidence[v] = answerCalm[w];
  CHECK_EVIDENCE(v)
}

inline endCall(v) {
  if
  :: beganCalm[v] && calls[v] < 2 -> calls[v]++
  :: else
  fi;
  assert(calls[v] < 2 || inForce[v] == newest);
  call[v] = NONE;
  whole[v] = 0;
  after[v] = 0;
  beganCalm[v] = 0;
  answerEra[v] = 0;
  answerVersion[v] = 0;
  answerRow[v] = 0;
  answerStored[v] = 0;
  answerCalm[v] = 0
}

inline send(v) {
  call[v] = SENT;
  whole[v] = !loaded[v];
  after[v] = (loaded[v] -> vmVersion[v] : 0);
  beganCalm[v] = calm
}

inline answer(v) {
  if
  :: !whole[v] && after[v] > version -> /* the store doesn't have that version */
     loaded[v] = 0;
     endCall(v)
  :: else ->
     call[v] = ANSWERED;
     answerEra[v] = era;
     answerVersion[v] = version;
     answerRow[v] = row;
     answerStored[v] = stored;
     answerCalm[v] = calm
  fi
}

/* VM v receives its answer. Its changes may reach VM w as well. */
inline receive(v, w) {
  if
  :: IS_NEW_ERA(answerEra[v], v) -> beginEra(v, answerEra[v])
  :: else
  fi;
  if
  :: !OLDER(v) && BASED(v) ->
     loaded[v] = 1;
     reach(v, v);
     if
     :: !whole[v] && loaded[w] && RELAYED_ERA(answerEra[v], w) && vmVersion[w] >= after[v] && vmVersion[w] < answerVersion[v] ->
        reach(w, v)
     :: true
     fi
  :: else
  fi;
  endCall(v)
}

/* VM v receives a claim of VM w. */
inline hear(v, w) {
  heard[v] = NEWER(heard[v], inForce[w]);
#ifndef MISTAKE_CLAIM
  if
  :: IS_NEW_ERA(vmEra[w], v) -> beginEra(v, vmEra[w])
  :: else
  fi;
#endif
  if
  :: SAME_ERA(vmEra[w], v) && loaded[v] && loaded[w] && vmVersion[v] >= lastChange[w] && evidence[w] ->
     evidence[v] = 1;
     CHECK_EVIDENCE(v)
  :: else
  fi
}

inline restart(v) {
  restarts++;
  endCall(v);
  started[v] = 0;
  inForce[v] = 0;
  heard[v] = 0;
  refused[v] = 0;
  beginEra(v, 0)
}

active proctype Fleet() {
  do
  :: atomic { calm == 0 && version < VERSIONS -> version++ } /* another row */
  :: atomic {
       calm == 0 && version < VERSIONS && newest < CHANGES && !undone ->
       newest++;
       version++;
       row = version;
       stored = newest
     }
  :: atomic { !isCopied -> isCopied = 1; copyVersion = version; copyRow = row; copyStored = stored }
  :: atomic {
       calm == 0 && isCopied && restores < RESTORES ->
       restores++;
       era++;
       version = copyVersion;
       row = copyRow;
       stored = copyStored;
       undone = 1;
       if
       :: isCopied = 0; copyVersion = 0; copyRow = 0; copyStored = 0
       :: true /* the next restore is from the same copy */
       fi
     }
  :: atomic {
       undone ->
       undone = 0;
       if
       :: newest < CHANGES -> newest++
       :: true
       fi;
       version++;
       row = version;
       stored = newest
     }
  :: atomic { !undone && calm == 0 -> calm = 1 }
  :: atomic { call[0] == NONE -> send(0) }
  :: atomic { call[0] == SENT -> answer(0) }
  :: atomic { call[0] == ANSWERED -> receive(0, 1) }
  :: atomic {
       send(1);
       answer(1);
       if
       :: call[1] == ANSWERED -> receive(1, 0)
       :: else
       fi
     }
  :: atomic { select(i : 0 .. 1); j = 1 - i; hear(i, j); i = 0; j = 0 }
  :: atomic { calm == 0 && restarts < RESTARTS -> restart(0) }
  :: atomic {
       select(i : 0 .. 1);
       if
       :: ACCEPTS(i) -> assert(!refused[i])
       :: started[i] && !ACCEPTS(i) -> refused[i] = 1
       :: !started[i]
       fi;
       i = 0
     }
  od
}
