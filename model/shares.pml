/*
 * Lending of fractions of an organisation's rate: parts under long leases in the
 * store, sub-leases between VMs, lost and duplicate answers, paused VMs, and
 * outages of the store.
 *
 * Property: the fractions that VMs may spend at any instant never add up to
 * more than the whole rate.
 *
 * Two VMs claim one part of two units. The holder lends one unit to a borrower.
 * Time is a counter. The clock of a holder may be one tick slow, and the clock
 * of the VM that reclaims a lease one tick fast. A VM may pause between any two
 * of its steps.
 *
 * Each of these defines adds a mistake that must violate the property:
 *   MISTAKE_MARGIN    reclaims without the margin for drift
 *   MISTAKE_ANSWER    counts a lease from the answer, not from the request
 *   MISTAKE_REGRANT   lends again when the answer to a grant was lost
 *   MISTAKE_OUTLIVE   lets a sub-lease end later than its parent
 *   MISTAKE_ADMISSION checks the lease at admission, not right before spending
 */

#define HORIZON 7    /* ticks explored */
#define ROOT_LEASE 3 /* ticks of a lease in the store */
#define SUB_LEASE 2  /* ticks of a sub-lease */
#define SLOW 1       /* ticks by which a holder's clock may lag */
#define FAST 1       /* ticks by which a reclaimer's clock may lead */
#ifdef MISTAKE_MARGIN
#define MARGIN 0
#else
#define MARGIN 2     /* SLOW + FAST */
#endif
#define NONE 2       /* no holder */
#define WHOLE 2      /* units of the part */

byte now = 0;
bool storeUp = true;

/* The store's row for the part. */
byte rowHolder = NONE;
byte rowSince = 0;

/* State of each claimant. */
bool holds[2];       /* has an answer to its claim */
byte since[2];       /* tick at which it counts its root lease as started */
bool lent[2];        /* one unit is lent */
byte lentSince[2];

/* State of the borrower. */
bool borrows = false;
byte borrowSince = 0;
byte borrowLength = 0;

/* A lease is valid until its holder's clock, which may be slow, reaches its end. */
#define VALID(start, length) (now < (start) + (length) + SLOW)
/* The owner may reclaim a lease when its clock, which may be fast, is past the
 * end by the margin. */
#define RECLAIMABLE(start, length) (now + FAST >= (start) + (length) + MARGIN)

#define OWN(i) ((holds[i] && VALID(since[i], ROOT_LEASE)) -> (lent[i] -> WHOLE - 1 : WHOLE) : 0)
#define BORROWED ((borrows && VALID(borrowSince, borrowLength)) -> 1 : 0)

#define CHECK assert(OWN(0) + OWN(1) + BORROWED <= WHOLE)

proctype Clock() {
  do
  :: atomic { now < HORIZON -> now++; CHECK }
  :: atomic { now < HORIZON -> storeUp = !storeUp }
  :: now >= HORIZON -> break
  od
}

/* Claims and renews the part, lends one unit and reclaims it. */
proctype Claimant(byte me) {
  byte asked;
end:
  do
  :: now >= HORIZON -> break
  :: /* Claim or renew. The request is sent now and takes effect later. */
     asked = now;
     if
     :: atomic {
          storeUp && (rowHolder == NONE || rowHolder == me || RECLAIMABLE(rowSince, ROOT_LEASE)) ->
          if
          :: rowHolder != me -> lent[me] = false /* a new holder starts with nothing lent */
          :: else
          fi;
          rowHolder = me;
          rowSince = now
        };
        if
        :: atomic {
             rowHolder == me -> /* the answer arrives */
#ifdef MISTAKE_ANSWER
             asked = now;
#endif
             holds[me] = true;
             since[me] = asked;
             CHECK
           }
        :: skip /* the answer is lost; the holder goes on with its old lease */
        fi
     :: skip /* the store is unavailable, or another VM holds the part */
     fi;
     asked = 0
  :: /* Lend one unit to the borrower, which requested it earlier. */
     atomic {
       holds[me] && !lent[me] && now < since[me] + ROOT_LEASE ->
       lent[me] = true;
       lentSince[me] = now;
       if
       :: /* The grant arrives. The borrower counts the sub-lease from its request. */
          borrows = true;
          borrowSince = now;
#ifdef MISTAKE_OUTLIVE
          borrowLength = SUB_LEASE;
#else
          borrowLength = (since[me] + ROOT_LEASE - now < SUB_LEASE -> since[me] + ROOT_LEASE - now : SUB_LEASE);
#endif
          CHECK
       :: /* The grant is lost. */
#ifdef MISTAKE_REGRANT
          lent[me] = false;
#endif
          skip
       :: /* The grant arrives but its answer is lost, so the lender can't know. */
          borrows = true;
          borrowSince = now;
          borrowLength = (since[me] + ROOT_LEASE - now < SUB_LEASE -> since[me] + ROOT_LEASE - now : SUB_LEASE);
#ifdef MISTAKE_REGRANT
          lent[me] = false;
#endif
          CHECK
       fi
     }
  :: /* Reclaim the unit when the margin after the end of the sub-lease is over. */
     atomic { lent[me] && RECLAIMABLE(lentSince[me], SUB_LEASE) -> lent[me] = false; CHECK }
  od
}

/* Spends units. A VM may pause between admission and the write to the upstream. */
proctype Spender(byte me) {
  do
  :: now >= HORIZON -> break
  :: atomic {
#ifdef MISTAKE_ADMISSION
       OWN(me) > 0 -> skip
     };
     atomic { /* spends after a pause without a new check */
       assert(OWN(me) > 0)
     }
#else
       OWN(me) > 0 -> skip /* checks and spends in one step */
     }
#endif
  od
}

init {
  atomic { run Clock(); run Claimant(0); run Claimant(1); run Spender(0) }
}
