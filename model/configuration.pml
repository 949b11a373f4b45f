/*
 * Distribution of the configuration: a revision is recorded in the store,
 * exchanged between VMs, trusted on evidence about the store, confirmed, and
 * reported to the operator as in force.
 *
 * Properties: the revision on a running VM never decreases. From the moment
 * that a revision is reported as in force, no VM trusts an older one.
 *
 * There are three VMs: 0 and 1 are beside the store, in data centres 0 and 1;
 * VM 2 is elsewhere. Any read of the store may succeed or fail, independently of
 * the reads of other VMs. At any moment any VM may receive a message from any
 * other or not, independently in each direction. Evidence carries its age. Ages
 * saturate, so that time is unbounded. There is one change and one restart. VMs
 * 0 and 1 are symmetric, so only 0 or 2 restarts.
 *
 * Not modelled: digests, several changes, and clocks at different speeds (see
 * the margin in shares.pml).
 *
 * Each of these defines adds a mistake that must violate a property:
 *   MISTAKE_OLDER    takes any configuration that a peer offers
 *   MISTAKE_ALONE    trusts its revision without evidence
 *   MISTAKE_QUIET    takes the silence of one data centre for that of the store
 *   MISTAKE_BEHIND   counts silences that come after a newer revision is known
 *   MISTAKE_WITNESS  lets a VM vouch for silence before it is registered
 *   MISTAKE_AGE      takes evidence to be as old as the message, not older
 *   MISTAKE_SETTLE   tells that a revision is in force before old evidence lapsed
 *   MISTAKE_EARLY    confirms a revision before it is in force on the VM
 */

#define VMS 3
#define LIMIT 1 /* ticks for which evidence is valid */
#define STALE 2 /* age at which ages saturate */
#define RESTARTS 1

bit head = 0;       /* newest recorded revision */
bit declared = 0;   /* newest revision reported as in force */
bit isCovered = 0;  /* the VMs beside the store that lack the revision are in at most one data centre */
byte covered = 0;   /* ticks since isCovered was set, saturated */

bit revision[VMS];
bit newest[VMS];      /* newest revision known to the VM, from the store or from peers */
byte headAge[VMS];    /* age of the read that showed newest to be the head */
byte currentAge[VMS]; /* age of the read that showed revision to be the head */
byte quiet0[VMS];     /* age of the silence of data centre 0 */
byte quiet1[VMS];
byte behind[VMS];     /* age of the silence of both when a newer revision became known */
bit witness[2];       /* the store answered a read sent after registration */
bit registered[2];    /* the row in the store belongs to the running process */
bit confirmed[2];     /* the row's process has confirmed revision 1 */
byte restarts = 0;

byte i, j, k;

#ifdef MISTAKE_QUIET
#define QUIET(v) (quiet0[v] <= LIMIT || quiet1[v] <= LIMIT)
#else
#define QUIET(v) (quiet0[v] <= LIMIT && quiet1[v] <= LIMIT)
#endif
#ifdef MISTAKE_ALONE
#define TRUSTS(v) (newest[v] <= revision[v])
#else
#define TRUSTS(v) (currentAge[v] <= LIMIT || (newest[v] <= revision[v] -> QUIET(v) : BEHIND(v)))
#endif
#ifdef MISTAKE_BEHIND
#define BEHIND(v) QUIET(v)
#else
#define BEHIND(v) (behind[v] <= LIMIT)
#endif
#ifdef MISTAKE_WITNESS
#define WITNESS(v) (true)
#else
#define WITNESS(v) (witness[v])
#endif
#ifdef MISTAKE_EARLY
#define CONFIRMS(v) (head == 1)
#else
#define CONFIRMS(v) (revision[v] == 1)
#endif
#ifdef MISTAKE_SETTLE
#define SETTLED (true)
#else
#define SETTLED (covered > LIMIT)
#endif

#define OLDER(v) (TRUSTS(v) && revision[v] < declared)
#define CHECK assert(!OLDER(0) && !OLDER(1) && !OLDER(2))

#define GROW(x) x = (x < STALE -> x + 1 : STALE)
#define YOUNGER(x, y) x = ((y) < x -> (y) : x)

/* VM v learns that revision r exists. */
inline learn(v, r) {
  if
  :: r > revision[v] && newest[v] <= revision[v] ->
     behind[v] = (quiet0[v] > quiet1[v] -> quiet0[v] : quiet1[v])
  :: else
  fi;
  newest[v] = (r > newest[v] -> r : newest[v])
}

/* Updates the evidence for its revision after the revision or the evidence of a
 * VM has changed. */
inline settle(v) {
  if
  :: newest[v] <= revision[v] -> currentAge[v] = headAge[v]
  :: else
  fi
}

inline cover() {
  if
  :: head == 1 && (confirmed[0] || confirmed[1]) ->
     if
     :: !isCovered -> isCovered = 1; covered = 0
     :: else
     fi
  :: else -> isCovered = 0; covered = 0
  fi
}

inline tick() {
  for (k : 0 .. VMS - 1) {
    GROW(headAge[k]);
    GROW(currentAge[k]);
    GROW(quiet0[k]);
    GROW(quiet1[k]);
    GROW(behind[k])
  }
  k = 0;
  if
  :: isCovered -> GROW(covered)
  :: else
  fi
}

/* VM i reads the head. */
inline read() {
  headAge[i] = 0;
  learn(i, head);
  if
  :: i < 2 && registered[i] -> witness[i] = 1
  :: else
  fi;
  settle(i)
}

/* VM i, beside the store, gets no answer. */
inline silence() {
  if
  :: i == 0 && WITNESS(0) -> quiet0[i] = 0
  :: i == 1 && WITNESS(1) -> quiet1[i] = 0
  :: else
  fi
}

/* VM i receives the evidence of VM j and may adopt its configuration. */
inline hear() {
  learn(i, newest[j]);
#ifdef MISTAKE_AGE
  if
  :: headAge[j] < STALE -> headAge[i] = 0
  :: else
  fi;
#else
  YOUNGER(headAge[i], headAge[j]);
#endif
  YOUNGER(quiet0[i], quiet0[j]);
  YOUNGER(quiet1[i], quiet1[j]);
  if
#ifdef MISTAKE_OLDER
  :: assert(revision[j] >= revision[i]);
     revision[i] = revision[j]
#else
  :: revision[j] > revision[i] -> revision[i] = revision[j]
#endif
  :: skip
  fi;
  settle(i)
}

inline restart() {
  restarts++;
  revision[i] = 0;
  newest[i] = 0;
  headAge[i] = STALE;
  currentAge[i] = STALE;
  quiet0[i] = STALE;
  quiet1[i] = STALE;
  behind[i] = STALE;
  if
  :: i < 2 -> witness[i] = 0; registered[i] = 0
  :: else
  fi
}

active proctype Fleet() {
  atomic {
    for (i : 0 .. VMS - 1) {
      headAge[i] = STALE;
      currentAge[i] = STALE;
      quiet0[i] = STALE;
      quiet1[i] = STALE;
      behind[i] = STALE
    }
    i = 0;
    registered[0] = 1;
    registered[1] = 1
  }
  do
  :: d_step { tick(); CHECK }
  :: atomic { select(i : 0 .. 2); read(); CHECK; i = 0 }
  :: atomic { select(i : 0 .. 1); silence(); CHECK; i = 0 }
  :: atomic {
       select(i : 0 .. 2);
       select(j : 0 .. 2);
       if
       :: i != j -> hear()
       :: else
       fi;
       CHECK;
       i = 0;
       j = 0
     }
  :: /* A VM loads the recorded configuration from the store. */
     atomic {
       select(i : 0 .. 2);
       revision[i] = head;
       newest[i] = head;
       settle(i);
       CHECK;
       i = 0
     }
  :: atomic {
       select(i : 0 .. 1);
       if
       :: registered[i] && !confirmed[i] && CONFIRMS(i) -> confirmed[i] = 1
       :: else
       fi;
       cover();
       i = 0
     }
  :: /* A restarted VM registers. Its row replaces that of its previous process. */
     atomic {
       !registered[0] -> registered[0] = 1;
       confirmed[0] = 0;
       cover()
     }
  :: atomic {
       restarts < RESTARTS ->
       if
       :: i = 0
       :: i = 2
       fi;
       restart();
       i = 0
     }
  :: atomic { head == 0 -> head = 1; cover() }
  :: /* The operator gets the report that the revision is in force. */
     atomic { head == 1 && declared == 0 && isCovered && SETTLED -> declared = 1; CHECK }
  od
}
