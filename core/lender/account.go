package lender

import (
	"math"
	"time"

	"godwitramp.example/core/limiter"
	"godwitramp.example/core/timekeeper"
)

const (
	// lentShare bounds what is lent as fractions. The rest mints into the
	// pool, from which whoever runs short gets single tokens.
	lentShare = 0.7
	// smallChange is the relative change of a fraction that isn't worth a new
	// loan.
	smallChange = 0.1
	// A sweep visits every loan, so that large accounts are swept less often.
	sweepPeriod    = 100 * time.Millisecond
	smallAccount   = 64
	maxSinglesOnce = 4096
	// promiseWindow is how far apart tokens are reserved that count as one.
	promiseWindow = 20 * time.Millisecond
)

// account is a collector's ledger of one organisation.
type account struct {
	limit limiter.Limit
	pool  limiter.Bucket
	cover float64
	loans map[string]*loan
	swept time.Duration
	// promises are the reserved tokens that may still be used, oldest first.
	promises []promise

	// Sums over the loans.
	lent        float64
	outstanding float64
	demand      float64
	// Sum over the promises.
	reserved float64
}

// promise is a number of tokens that were reserved at about the same time.
type promise struct {
	tokens  float64
	granted timekeeper.Reading
}

// loan is what one borrower has.
type loan struct {
	sequence uint64
	heard    timekeeper.Reading
	demand   float64
	// A borrower uses either the grant that it has confirmed or the newest.
	held, newest loanGrant
	// What the sums of the account contain for this loan.
	lent, outstanding float64
}

// loanGrant is a grant as long as it may be in use.
type loanGrant struct {
	sequence uint64
	fraction float64
	singles  float64
	granted  timekeeper.Reading
}

// expire forgets what can't be in use any more.
func (grant *loanGrant) expire(now timekeeper.Reading) {
	fraction := timekeeper.Lease{Start: grant.granted, Length: limiter.LoanDuration}
	if fraction.Reclaimable(now, timekeeper.Drift) {
		grant.fraction = 0
	}
	singles := timekeeper.Lease{Start: grant.granted, Length: limiter.SingleLifetime}
	if singles.Reclaimable(now, limiter.SingleMargin) {
		grant.singles = 0
	}
}

// count updates the account's sums for the loan.
func (account *account) count(loan *loan, now timekeeper.Reading) {
	loan.held.expire(now)
	loan.newest.expire(now)
	lent := max(loan.held.fraction, loan.newest.fraction)
	outstanding := loan.held.singles + loan.newest.singles
	account.lent += lent - loan.lent
	account.outstanding += outstanding - loan.outstanding
	loan.lent = lent
	loan.outstanding = outstanding
}

// sweep drops loans that have ended.
func (account *account) sweep(now timekeeper.Reading) {
	account.expirePromises(now)
	if len(account.loans) > smallAccount && now.Mono-account.swept < sweepPeriod {
		return
	}
	account.swept = now.Mono
	// The sums are made anew, so that rounding errors don't add up.
	account.lent, account.outstanding, account.demand = 0, 0, 0
	for borrower, loan := range account.loans {
		loan.lent, loan.outstanding = 0, 0
		account.count(loan, now)
		heard := timekeeper.Lease{Start: loan.heard, Length: limiter.LoanDuration}
		if loan.lent == 0 && loan.outstanding == 0 && heard.Reclaimable(now, timekeeper.Drift) {
			delete(account.loans, borrower)
			continue
		}
		account.demand += loan.demand
	}
}

// fit makes the pool mint by what isn't lent.
func (account *account) fit(cover float64, now time.Duration) {
	account.cover = cover
	own := max(0, cover-account.lent)
	burst := max(0, own*account.limit.Burst-account.outstanding-account.reserved)
	account.pool.Resize(now, own*account.limit.Rate, burst)
}

// full reports whether the pool holds the whole burst.
func (account *account) full() bool {
	return account.pool.Tokens() >= account.cover*account.limit.Burst*(1-minCover)
}

// lend answers one ask. It reports false for an ask that came late or twice.
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
	account.fit(account.cover, now.Mono)
	// Tokens that had stopped counting against the burst must not come back.
	account.pool.Add(min(ask.Returned, freed))
	grant := limiter.Grant{ID: ask.ID, Sequence: ask.Sequence}
	account.lendFraction(known, &grant, now)
	account.lendSingles(known, ask.Waiting, &grant, now)
	return grant, true
}

// confirm takes note of what the borrower still uses: the grant that it
// holds. Any other can't take effect after this ask. It returns how many
// tokens counted against the burst until now and don't any more.
func (account *account) confirm(loan *loan, ask limiter.Ask, now timekeeper.Reading) (freed float64) {
	account.count(loan, now)
	lent, outstanding := loan.lent, loan.outstanding
	loan.sequence = ask.Sequence
	loan.heard = now
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
	account.count(loan, now)
	return max(0, (lent-loan.lent)*account.limit.Burst+outstanding-loan.outstanding)
}

// lendFraction lends in proportion to the demand.
func (account *account) lendFraction(loan *loan, grant *limiter.Grant, now timekeeper.Reading) {
	wanted := account.wanted(loan)
	current := loan.held.fraction
	if wanted > 0 && math.Abs(wanted-current) <= smallChange*current {
		wanted = current
	}
	own := account.cover - account.lent
	wanted = min(wanted, max(0, own+loan.lent))
	grown := wanted - loan.lent
	grant.Fraction = wanted
	if grown > 0 && account.pool.Tokens() < 0 {
		// Reserved tokens are minted by all that the pool has now.
		grant.Fraction, grown = loan.lent, 0
	}
	if grown > 0 {
		grant.Tokens = min(account.pool.Tokens()*grown/own, grown*account.limit.Burst)
		account.pool.Take(now.Mono, grant.Tokens)
	}
	loan.newest = loanGrant{sequence: grant.Sequence, fraction: grant.Fraction, granted: now}
	account.count(loan, now)
	account.fit(account.cover, now.Mono)
}

// wanted is the fraction that a loan should have.
func (account *account) wanted(loan *loan) float64 {
	if account.cover <= 0 || account.demand <= 0 || account.limit.Rate <= 0 {
		return 0
	}
	wanted := loan.demand / account.limit.Rate
	wanted *= min(1, lentShare*account.cover*account.limit.Rate/account.demand)
	if !limiter.WorthLending(wanted, account.limit) {
		return 0
	}
	return wanted
}

// lendSingles grants whole tokens to the requests that wait.
func (account *account) lendSingles(loan *loan, waiting float64, grant *limiter.Grant, now timekeeper.Reading) {
	if waiting <= 0 {
		return
	}
	tokens := max(0, math.Floor(min(waiting, account.pool.Tokens()+minCover, maxSinglesOnce)))
	if tokens > 0 {
		account.pool.Take(now.Mono, min(tokens, account.pool.Tokens()))
		grant.Singles = tokens
		loan.newest.singles = tokens
		account.count(loan, now)
		account.fit(account.cover, now.Mono)
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
		grant.RetryAfter = noCoverDenial
	}
}

// reserve promises tokens that the pool has yet to mint. All tokens that may
// exist must stay within the burst until the debt is paid, even if none is
// used.
func (account *account) reserve(missing float64, grant *limiter.Grant, now timekeeper.Reading) {
	ahead := account.pool.Rate * limiter.MaxReserveDelay.Seconds()
	room := (account.cover-account.lent)*account.limit.Burst - account.outstanding - account.reserved
	if ahead <= 0 || account.pool.Tokens()+ahead > room {
		return
	}
	reserved := math.Floor(min(missing, account.pool.Tokens()+ahead+minCover))
	if reserved <= 0 {
		return
	}
	grant.Reserved = reserved
	grant.Delay = account.pool.TimeUntil(now.Mono, reserved)
	account.pool.Charge(now.Mono, reserved)
	account.promise(reserved, now)
}

// promise takes note of reserved tokens, together with the last ones if those
// are recent, so that the list stays short.
func (account *account) promise(tokens float64, now timekeeper.Reading) {
	account.reserved += tokens
	last := len(account.promises) - 1
	if last >= 0 && now.Longest(account.promises[last].granted) < promiseWindow {
		account.promises[last].tokens += tokens
		return
	}
	account.promises = append(account.promises, promise{tokens: tokens, granted: now})
}

// expirePromises forgets the reserved tokens that can't be used any more.
func (account *account) expirePromises(now timekeeper.Reading) {
	const lifetime = limiter.MaxReserveDelay + limiter.SingleLifetime + promiseWindow
	ended := 0
	for _, promise := range account.promises {
		lease := timekeeper.Lease{Start: promise.granted, Length: lifetime}
		if !lease.Reclaimable(now, limiter.SingleMargin) {
			break
		}
		account.reserved -= promise.tokens
		ended++
	}
	account.promises = account.promises[ended:]
	if len(account.promises) == 0 {
		account.promises, account.reserved = nil, 0
	}
}
