/*
 * Configuration: recorded in the store, passed on between VMs, confirmed,
 * with restarts, cuts in one direction and store outages.
 *
 * Properties: a VM that serves never goes back to an older revision; once the
 * operator has been told that a revision is in force, no VM serves with an
 * older one, then or later.
 *
 * Three VMs, two changes, two restarts. Any VM may hear any other or not at
 * any moment. A VM that starts registers in the store before it serves. If the
 * store is away, a VM that serves may vouch for it: the sponsor holds back its
 * own confirmations until the VM that it vouches for has the revision.
 *
 * Mistakes that a define switches on, each of which must break a property:
 *   MISTAKE_OLDER       takes any snapshot that a peer offers
 *   MISTAKE_UNREGISTERED serves before it is registered or vouched for
 *   MISTAKE_SILENT      counts a VM that does not answer as ended
 *   MISTAKE_HASTE       a restarted sponsor forgets whom its predecessor vouched for
 *   MISTAKE_EARLY       confirms a revision before it is in force on the VM
 */

#define VMS 3
#define CHANGES 2
#define RESTARTS 2
#define NOBODY 3

byte head = 0;              /* newest recorded revision */
byte declared = 0;          /* newest revision that the operator was told is in force */
bool registered[VMS];       /* row in the store */
byte confirmed[VMS];        /* revision that the VM has confirmed */
byte revision[VMS];
bool serving[VMS];
bool up[VMS];               /* the process runs */
byte sponsor[VMS];          /* who vouches for the VM */
byte restarts = 0;

#define CHECK(i) assert(!serving[i] || revision[i] >= declared)

/* Whether everyone that v vouches for has revision r. */
#define VOUCHED(v, r) ( \
  (sponsor[0] != v || revision[0] >= r) && \
  (sponsor[1] != v || revision[1] >= r) && \
  (sponsor[2] != v || revision[2] >= r))

#ifdef MISTAKE_HASTE
#define VOUCHES_FOR_NOBODY(v) (true)
#else
#define VOUCHES_FOR_NOBODY(v) (sponsor[0] != v && sponsor[1] != v && sponsor[2] != v)
#endif

#ifdef MISTAKE_SILENT
#define COUNTS(v) (registered[v] && up[v])
#else
#define COUNTS(v) (registered[v])
#endif
#define DONE(v, r) (!COUNTS(v) || confirmed[v] >= r)

proctype Operator() {
  byte wanted = 0;
end:
  do
  :: head < CHANGES ->
     atomic { head++; wanted = head };
     if
     :: /* Waits until all that are registered have confirmed, in one read. */
        atomic {
          DONE(0, wanted) && DONE(1, wanted) && DONE(2, wanted) ->
          declared = wanted;
          CHECK(0); CHECK(1); CHECK(2)
        }
     :: skip /* gives up: recorded, not in force */
     fi
  :: head >= CHANGES -> break
  od
}

proctype VM(byte me) {
  byte other = 0;
  byte offered = 0;
end:
  do
  :: /* Registers: needs the store, which answers or not. */
     atomic { up[me] && !registered[me] -> registered[me] = true; confirmed[me] = 0 }
  :: /* A registered VM reads the head from the store before it serves. */
     atomic {
       up[me] && registered[me] ->
       if
       :: revision[me] < head -> revision[me] = head
       :: else
       fi;
       serving[me] = true;
       sponsor[me] = NOBODY; /* registered and at the head: it answers for itself */
       CHECK(me)
     }
  :: /* Asks a peer that serves; the answer may be any older one of it. */
     atomic {
       up[me] ->
       if
       :: other = 0
       :: other = 1
       :: other = 2
       fi;
       if
       :: other != me && serving[other] ->
          select(offered : 0 .. revision[other]);
          if
#ifdef MISTAKE_OLDER
          :: offered > 0 ->
             assert(!serving[me] || offered >= revision[me]);
             revision[me] = offered
#else
          :: offered > revision[me] -> revision[me] = offered
#endif
          :: else
          fi
       :: else
       fi;
       other = 0;
       offered = 0
     }
  :: /* Starts to serve while the store is away: a peer that serves vouches. */
     atomic {
       up[me] && !serving[me] && !registered[me] ->
       if
       :: other = 0
       :: other = 1
       :: other = 2
       fi;
       if
       :: other != me && up[other] && serving[other] && registered[other] && sponsor[other] == NOBODY ->
#ifndef MISTAKE_UNREGISTERED
          sponsor[me] = other;
#endif
          if
          :: revision[other] > revision[me] -> revision[me] = revision[other]
          :: else
          fi;
          serving[me] = true;
          CHECK(me)
       :: else
       fi;
       other = 0
     }
  :: /* Confirms what it has in force. */
#ifdef MISTAKE_EARLY
     atomic { up[me] && registered[me] && confirmed[me] < head -> confirmed[me] = head }
#else
     atomic {
       up[me] && serving[me] && registered[me] && confirmed[me] < revision[me] && VOUCHED(me, revision[me]) ->
       confirmed[me] = revision[me]
     }
#endif
  :: /* Stops serving when the lease of its sponsor's word has ended. */
     atomic { sponsor[me] != NOBODY && !up[sponsor[me]] -> serving[me] = false; sponsor[me] = NOBODY }
  :: /* Crashes. Its row stays, so that the operator waits for its successor
        or for the proof that it has ended. */
     atomic {
       up[me] && restarts < RESTARTS ->
       restarts++;
       up[me] = false;
       serving[me] = false;
       revision[me] = 0;
       sponsor[me] = NOBODY
     }
  :: /* Starts again. The successor registers anew, after the leases of what
        its predecessor vouched for have ended. */
     atomic {
       !up[me] && VOUCHES_FOR_NOBODY(me) ->
       up[me] = true;
       registered[me] = false;
       confirmed[me] = 0
     }
  :: head >= CHANGES && declared >= CHANGES -> break
  od
}

init {
  byte i;
  atomic {
    for (i : 0 .. VMS - 1) { up[i] = true; sponsor[i] = NOBODY }
    run Operator(); run VM(0); run VM(1); run VM(2)
  }
}
