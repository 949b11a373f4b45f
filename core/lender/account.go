package lender

import (
	"math"
	"time"

	"godwitramp.example/core/limiter"
	"godwitramp.example/core/timekeeper"
)

const (
	// maxLentShare is the largest share of the coverage to be lent as fractions.
	// The rest refills the pool, from which borrowers that run short get single
	// tokens.
	maxLentShare = 0.7
	// minRelativeChange is the relative change up to which a fraction is renewed
	// unchanged.
	minRelativeChange = 0.1
	// A sweep visits every loan, so accounts of more than alwaysSweptLoans loans are
	// swept at most once per sweepPeriod.
	sweepPeriod      = 100 * time.Millisecond
	alwaysSweptLoans = 64
	// maxSinglesPerGrant limits the single tokens of one grant.
	maxSinglesPerGrant = 4096
	// reservationWindow is the time within which reservations are merged into one.
	reservationWindow = 20 * time.Millisecond
)

// account records what a collector has lent of one organisation's limit.
type account struct {
	limit    limiter.Limit
	pool     limiter.Bucket
	coverage float64
	loans    map[string]*loan
	sweptAt  time.Duration
	// reservations are those whose tokens may still be used, oldest first.
	reservations []reservation

	// Sums over the loans.
	lent        float64
	outstanding float64
	demand      float64
	// Sum over the reservations.
	reserved float64
}

// reservation is a number of tokens reserved within one reservationWindow.
type reservation struct {
	tokens     float64
	reservedAt timekeeper.Reading
}

// loan records what one borrower may be using.
type loan struct {
	sequence  uint64
	lastAskAt timekeeper.Reading
	demand    float64
	// A borrower uses either the grant that it has confirmed or the newest.
	held, newest loanGrant
	// What the loan contributes to the sums of the account.
	lent, outstanding float64
}

// loanGrant is a grant that may be in use.
type loanGrant struct {
	sequence  uint64
	fraction  float64
	singles   float64
	grantedAt timekeeper.Reading
}

// expire clears the fraction and the single tokens whose lease has certainly ended
// on the borrower.
func (grant *loanGrant) expire(now timekeeper.Reading) {
	fraction := timekeeper.Lease{Start: grant.grantedAt, Duration: limiter.LoanDuration}
	if fraction.Reclaimable(now, timekeeper.DriftMargin) {
		grant.fraction = 0
	}
	singles := timekeeper.Lease{Start: grant.grantedAt, Duration: limiter.SingleLifetime}
	if singles.Reclaimable(now, limiter.SingleMargin) {
		grant.singles = 0
	}
}

// updateSums updates the account's sums for the loan.
func (account *account) updateSums(loan *loan, now timekeeper.Reading) {
	loan.held.expire(now)
	loan.newest.expire(now)
	lent := max(loan.held.fraction, loan.newest.fraction)
	outstanding := loan.held.singles + loan.newest.singles
	account.lent += lent - loan.lent
	account.outstanding += outstanding - loan.outstanding
	loan.lent = lent
	loan.outstanding = outstanding
}

// sweep removes loans and reservations that have ended.
func (account *account) sweep(now timekeeper.Reading) {
	account.expireReservations(now)
	if len(account.loans) > alwaysSweptLoans && now.Mono-account.sweptAt < sweepPeriod {
		return
	}
	account.sweptAt = now.Mono
	// The sums are recomputed, so that rounding errors don't accumulate.
	account.lent, account.outstanding, account.demand = 0, 0, 0
	for borrower, loan := range account.loans {
		loan.lent, loan.outstanding = 0, 0
		account.updateSums(loan, now)
		lastAsk := timekeeper.Lease{Start: loan.lastAskAt, Duration: limiter.LoanDuration}
		if loan.lent == 0 && loan.outstanding == 0 && lastAsk.Reclaimable(now, timekeeper.DriftMargin) {
			delete(account.loans, borrower)
			continue
		}
		account.demand += loan.demand
	}
}

// resizePool sets the pool's rate and burst by the part of the coverage that isn't
// lent.
func (account *account) resizePool(coverage float64, now time.Duration) {
	account.coverage = coverage
	unlent := max(0, coverage-account.lent)
	burst := max(0, unlent*account.limit.Burst-account.outstanding-account.reserved)
	account.pool.Resize(now, unlent*account.limit.Rate, burst)
}

// poolFull reports whether the pool holds the whole burst of the coverage.
func (account *account) poolFull() bool {
	return account.pool.Tokens() >= account.coverage*account.limit.Burst*(1-roundingTolerance)
}

// lend answers one ask. It reports false for a late or duplicate ask.
func (account *account) lend(borrower string, ask limiter.Ask, now timekeeper.Reading) (limiter.Grant, bool) {
	if ask.Limit.Revision >= account.limit.Revision {
		account.limit = ask.Limit
	}
	account.sweep(now)
	known := account.loans[borrower]
	if known == nil {
		known = &loan{}
		account.loans[borrower] = known
	}
	if ask.Sequence <= known.sequence {
		return limiter.Grant{}, false
	}
	freed := account.confirm(known, ask, now)
	account.resizePool(account.coverage, now.Mono)
	// Returned tokens that already didn't count against the burst must not be added
	// again.
	account.pool.Add(min(ask.Returned, freed))
	grant := limiter.Grant{ID: ask.ID, Sequence: ask.Sequence}
	account.lendFraction(known, &grant, now)
	account.lendSingles(known, ask.Waiting, &grant, now)
	return grant, true
}

// confirm records that the borrower uses only the grant that its ask names as held:
// no other can take effect after this ask. It returns how many tokens no longer
// count against the burst.
func (account *account) confirm(loan *loan, ask limiter.Ask, now timekeeper.Reading) (freed float64) {
	account.updateSums(loan, now)
	lent, outstanding := loan.lent, loan.outstanding
	loan.sequence = ask.Sequence
	loan.lastAskAt = now
	account.demand += ask.Demand - loan.demand
	loan.demand = ask.Demand
	if loan.newest.sequence == ask.Held {
		loan.held = loan.newest
	}
	if loan.held.sequence != ask.Held {
		loan.held = loanGrant{}
	}
	loan.held.singles = 0 // spent, or returned with this ask
	loan.newest = loanGrant{}
	account.updateSums(loan, now)
	return max(0, (lent-loan.lent)*account.limit.Burst+outstanding-loan.outstanding)
}

// lendFraction grants a fraction in proportion to the borrower's demand.
func (account *account) lendFraction(loan *loan, grant *limiter.Grant, now timekeeper.Reading) {
	wanted := account.targetFraction(loan)
	current := loan.held.fraction
	if wanted > 0 && math.Abs(wanted-current) <= minRelativeChange*current {
		wanted = current
	}
	unlent := account.coverage - account.lent
	wanted = min(wanted, max(0, unlent+loan.lent))
	grown := wanted - loan.lent
	grant.Fraction = wanted
	if grown > 0 && account.pool.Tokens() < 0 {
		// The pool needs its present rate to pay for the reserved tokens in time.
		grant.Fraction, grown = loan.lent, 0
	}
	if grown > 0 {
		grant.Tokens = min(account.pool.Tokens()*grown/unlent, grown*account.limit.Burst)
		account.pool.Take(now.Mono, grant.Tokens)
	}
	loan.newest = loanGrant{sequence: grant.Sequence, fraction: grant.Fraction, grantedAt: now}
	account.updateSums(loan, now)
	account.resizePool(account.coverage, now.Mono)
}

// targetFraction returns the fraction that the loan's demand justifies, 0 if it is not
// worth lending.
func (account *account) targetFraction(loan *loan) float64 {
	if account.coverage <= 0 || account.demand <= 0 || account.limit.Rate <= 0 {
		return 0
	}
	wanted := loan.demand / account.limit.Rate
	wanted *= min(1, maxLentShare*account.coverage*account.limit.Rate/account.demand)
	if !limiter.WorthLending(wanted, account.limit) {
		return 0
	}
	return wanted
}

// lendSingles grants whole tokens for the waiting requests.
func (account *account) lendSingles(loan *loan, waiting float64, grant *limiter.Grant, now timekeeper.Reading) {
	if waiting <= 0 {
		return
	}
	tokens := max(0, math.Floor(min(waiting, account.pool.Tokens()+roundingTolerance, maxSinglesPerGrant)))
	if tokens > 0 {
		account.pool.Take(now.Mono, min(tokens, account.pool.Tokens()))
		grant.Singles = tokens
		loan.newest.singles = tokens
		account.updateSums(loan, now)
		account.resizePool(account.coverage, now.Mono)
	}
	missing := waiting - tokens
	if missing <= 0 {
		return
	}
	account.reserve(missing, grant, now)
	if grant.Reserved < missing {
		grant.RetryAfter = account.pool.TimeUntil(now.Mono, 1)
	}
	if grant.Reserved < missing && account.pool.Burst < 1 {
		grant.RetryAfter = noCoverageRetryAfter
	}
}

// reserve grants tokens that will accrue in the pool within MaxReserveDelay; the pool
// goes into debt for them. Until the debt is paid, all tokens that may exist must
// stay within the burst, even if none is used.
func (account *account) reserve(missing float64, grant *limiter.Grant, now timekeeper.Reading) {
	ahead := account.pool.Rate * limiter.MaxReserveDelay.Seconds()
	room := (account.coverage-account.lent)*account.limit.Burst - account.outstanding - account.reserved
	if ahead <= 0 || account.pool.Tokens()+ahead > room {
		return
	}
	reserved := math.Floor(min(missing, account.pool.Tokens()+ahead+roundingTolerance))
	if reserved <= 0 {
		return
	}
	grant.Reserved = reserved
	grant.Delay = account.pool.TimeUntil(now.Mono, reserved)
	account.pool.Debit(now.Mono, reserved)
	account.addReservation(reserved, now)
}

// addReservation records reserved tokens. It merges them into the last reservation
// if that one is recent, so that the list stays short.
func (account *account) addReservation(tokens float64, now timekeeper.Reading) {
	account.reserved += tokens
	last := len(account.reservations) - 1
	if last >= 0 && now.MaxElapsed(account.reservations[last].reservedAt) < reservationWindow {
		account.reservations[last].tokens += tokens
		return
	}
	account.reservations = append(account.reservations, reservation{tokens: tokens, reservedAt: now})
}

// expireReservations removes reservations whose tokens can't be used any more.
func (account *account) expireReservations(now timekeeper.Reading) {
	const lifetime = limiter.MaxReserveDelay + limiter.SingleLifetime + reservationWindow
	ended := 0
	for _, reservation := range account.reservations {
		lease := timekeeper.Lease{Start: reservation.reservedAt, Duration: lifetime}
		if !lease.Reclaimable(now, limiter.SingleMargin) {
			break
		}
		account.reserved -= reservation.tokens
		ended++
	}
	account.reservations = account.reservations[ended:]
	if len(account.reservations) == 0 {
		account.reservations, account.reserved = nil, 0
	}
}
