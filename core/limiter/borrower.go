package limiter

import (
	"math"
	"time"

	"godwitramp.example/core/timekeeper"
)

const (
	// demandTimeConstant is the time constant of the demand's exponential moving
	// average.
	demandTimeConstant = 2 * time.Second
	// minRetryAfter is the shortest time for which requests are refused after a grant
	// with too few tokens.
	minRetryAfter = 20 * time.Millisecond
	// defaultRetryAfter applies when the collector gave no answer or no fraction.
	defaultRetryAfter = 250 * time.Millisecond
	// accountIdleTimeout is how long an account without a fraction is kept after
	// its last request.
	accountIdleTimeout = 30 * time.Second
	// negligibleDemand, in tokens a second, is the demand below which it counts as
	// zero.
	negligibleDemand = 0.01
)

// Verdict is the decision on a request.
type Verdict struct {
	// Allowed is true if the request has got its token.
	Allowed bool
	// Wait is true if the request has to wait for the collector's next answer.
	Wait bool
	// Delay is how long an allowed request must wait before it runs, until its
	// reserved token has accrued.
	Delay time.Duration
	// TokenLease is the lease on the token of a delayed request. The token must not
	// be used after it has lapsed.
	TokenLease timekeeper.Lease
	// RetryAfter is how long the caller of a refused request should wait before it
	// retries.
	RetryAfter time.Duration
}

// Borrower holds the fractions and tokens that one VM has borrowed. It isn't safe
// for concurrent use.
type Borrower struct {
	accounts  map[ID]*account
	pending   []*account // with requests waiting or urgent asks
	sequence  uint64
	renewedAt time.Duration
}

// account holds what a VM has borrowed of one organisation's limit.
type account struct {
	id    ID
	limit Limit

	bucket        Bucket
	collector     string
	heldSequence  uint64 // sequence of the last grant that took effect, or 0
	fraction      float64
	fractionLease timekeeper.Lease
	singles       float64
	singleLease   timekeeper.Lease
	excess        float64 // tokens above the burst, to be returned
	reserved      float64
	reservedReady time.Duration // when the reserved tokens have accrued
	reservedLease timekeeper.Lease

	inFlight      uint64 // sequence of the ask in flight, or 0
	waiting       float64
	queued        bool          // in the borrower's pending list
	urgent        bool          // asks for a fraction before the next renewal
	deniedUntil   time.Duration // until then, requests are refused without waiting
	declinedUntil time.Duration // until then, no urgent asks
	arrivals      float64       // tokens requested since measuredAt
	demand        float64       // moving average, in tokens a second
	measuredAt    time.Duration
	usedAt        time.Duration
}

// NewBorrower returns a borrower that holds nothing.
func NewBorrower() *Borrower { return &Borrower{accounts: make(map[ID]*account)} }

// Accounts returns the number of organisations that the borrower keeps state for.
func (borrower *Borrower) Accounts() int { return len(borrower.accounts) }

// Take takes one token for a new request. If Verdict.Wait is true, the caller
// calls Retry after the next answer, or Abandon.
func (borrower *Borrower) Take(id ID, limit Limit, now timekeeper.Reading) Verdict {
	return borrower.TakeN(id, limit, 1, now)
}

// TakeN is Take for n tokens.
func (borrower *Borrower) TakeN(id ID, limit Limit, n float64, now timekeeper.Reading) Verdict {
	account := borrower.recordArrival(id, limit, n, now)
	if account.take(n, now) {
		return Verdict{Allowed: true}
	}
	if now.Mono < account.deniedUntil {
		return Verdict{RetryAfter: account.deniedUntil - now.Mono}
	}
	if !account.queued {
		account.queued = true
		borrower.pending = append(borrower.pending, account)
	}
	account.waiting += n
	return Verdict{Wait: true}
}

// recordArrival counts a request for n tokens and returns the organisation's
// account, a new one if there is none.
func (borrower *Borrower) recordArrival(id ID, limit Limit, n float64, now timekeeper.Reading) *account {
	account := borrower.accounts[id]
	if account == nil {
		account = borrower.newAccount(id, limit, now)
	}
	account.arrivals += n
	account.usedAt = now.Mono
	account.refresh(limit, now)
	return account
}

// TryTake takes n tokens if the VM has them. It never waits; if the VM has no
// fraction, it makes an ask for one due.
func (borrower *Borrower) TryTake(id ID, limit Limit, n float64, now timekeeper.Reading) bool {
	account := borrower.recordArrival(id, limit, n, now)
	if account.take(n, now) {
		return true
	}
	if account.fraction == 0 && now.Mono >= account.declinedUntil && !account.queued {
		account.urgent = true
		account.queued = true
		borrower.pending = append(borrower.pending, account)
	}
	return false
}

// Debit removes n tokens that were used without Take. The bucket may go into debt,
// which later tokens pay off first.
func (borrower *Borrower) Debit(id ID, n float64, now timekeeper.Reading) {
	if account := borrower.accounts[id]; account != nil {
		account.bucket.Debit(now.Mono, n)
	}
}

// Retry decides on a request that waited for an answer. A request that arrived
// after the ask was sent may have to wait for the next answer.
func (borrower *Borrower) Retry(id ID, now timekeeper.Reading) Verdict {
	return borrower.RetryN(id, 1, now)
}

// RetryN is Retry for n tokens.
func (borrower *Borrower) RetryN(id ID, n float64, now timekeeper.Reading) Verdict {
	account := borrower.accounts[id]
	if account == nil {
		return Verdict{RetryAfter: defaultRetryAfter}
	}
	account.refresh(account.limit, now)
	allowed := account.take(n, now)
	if !allowed && account.reserved >= n {
		account.reserved -= n
		account.waiting = max(0, account.waiting-n)
		return Verdict{Allowed: true, Delay: max(0, account.reservedReady-now.Mono), TokenLease: account.reservedLease}
	}
	if !allowed && now.Mono >= account.deniedUntil {
		return Verdict{Wait: true}
	}
	account.waiting = max(0, account.waiting-n)
	return Verdict{Allowed: allowed, RetryAfter: max(0, account.deniedUntil-now.Mono)}
}

// Abandon records that a request no longer waits for n tokens.
func (borrower *Borrower) Abandon(id ID, n float64) {
	if account := borrower.accounts[id]; account != nil {
		account.waiting = max(0, account.waiting-n)
	}
}

func (borrower *Borrower) newAccount(id ID, limit Limit, now timekeeper.Reading) *account {
	account := &account{id: id, limit: limit, measuredAt: now.Mono}
	borrower.accounts[id] = account
	return account
}

// refresh drops a fraction and single tokens whose lease has lapsed, and applies
// the limit if its revision isn't older.
func (account *account) refresh(limit Limit, now timekeeper.Reading) {
	if account.singles > 0 && account.singleLease.Lapsed(now) {
		account.singles = 0
	}
	if account.fraction > 0 && account.fractionLease.Lapsed(now) {
		account.fraction = 0
		account.heldSequence = 0
		account.bucket.Resize(now.Mono, 0, 0)
		account.excess = 0
	}
	if limit.Revision >= account.limit.Revision && limit != account.limit {
		account.limit = limit
		account.resize(now)
	}
}

// resize sets the bucket's rate and burst by the fraction. Tokens above the new
// burst are counted as excess, to be returned.
func (account *account) resize(now timekeeper.Reading) {
	rate := account.fraction * account.limit.Rate
	burst := account.fraction * account.limit.Burst
	account.excess += account.bucket.Resize(now.Mono, rate, burst)
}

// take takes n tokens from the bucket or, if it has fewer, from the single tokens.
func (account *account) take(n float64, now timekeeper.Reading) bool {
	if account.bucket.Take(now.Mono, n) {
		return true
	}
	if account.singles < n {
		return false
	}
	account.singles -= n
	return true
}

// Asks returns the asks that are due: those for pending accounts, and once per
// RenewPeriod those for accounts that have a fraction or enough demand for one.
// An account has at most one ask in flight. The caller passes each ask to Apply,
// Requeue or Fail.
func (borrower *Borrower) Asks(now timekeeper.Reading) []Ask {
	var asks []Ask
	kept := borrower.pending[:0]
	for _, account := range borrower.pending {
		account.queued = account.waiting > 0 || account.urgent
		if !account.queued {
			continue
		}
		kept = append(kept, account)
		if account.inFlight == 0 {
			asks = append(asks, borrower.newAsk(account, now))
		}
	}
	clear(borrower.pending[len(kept):])
	borrower.pending = kept
	if now.Mono-borrower.renewedAt < RenewPeriod {
		return asks
	}
	borrower.renewedAt = now.Mono
	return borrower.renewals(asks, now)
}

// HasPending reports whether Asks would return an ask for a pending account.
func (borrower *Borrower) HasPending() bool {
	for _, account := range borrower.pending {
		if account.inFlight == 0 && (account.waiting > 0 || account.urgent) {
			return true
		}
	}
	return false
}

// renewals adds the renewals that are due to asks, and removes idle accounts.
func (borrower *Borrower) renewals(asks []Ask, now timekeeper.Reading) []Ask {
	for id, account := range borrower.accounts {
		account.refresh(account.limit, now)
		if account.inFlight != 0 {
			continue
		}
		if account.fraction == 0 && account.waiting == 0 && now.Mono-account.usedAt > accountIdleTimeout {
			delete(borrower.accounts, id)
			continue
		}
		account.updateDemand(now)
		if account.fraction > 0 || account.wantsFraction() {
			asks = append(asks, borrower.newAsk(account, now))
		}
	}
	return asks
}

// wantsFraction reports whether a fraction as large as the demand is worth lending.
// A lower demand is served by single tokens on request.
func (account *account) wantsFraction() bool {
	return WorthLending(account.demand/account.limit.Rate, account.limit)
}

// WorthLending reports whether a bucket with the fraction of the limit has enough
// burst, and refills fast enough, to be worth a loan.
func WorthLending(fraction float64, limit Limit) bool {
	const minTokens, minRate = 2, 2
	return fraction*limit.Burst >= minTokens && fraction*limit.Rate >= minRate
}

// updateDemand updates the moving average of the demand, at most once per half
// RenewPeriod.
func (account *account) updateDemand(now timekeeper.Reading) {
	elapsed := now.Mono - account.measuredAt
	if elapsed < RenewPeriod/2 {
		return
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/demandTimeConstant.Seconds())
	account.demand += weight * (account.arrivals/elapsed.Seconds() - account.demand)
	if account.demand < negligibleDemand {
		account.demand = 0
	}
	account.arrivals = 0
	account.measuredAt = now.Mono
}

// newAsk returns an ask and records it as in flight. Returned tokens leave the
// account.
func (borrower *Borrower) newAsk(account *account, now timekeeper.Reading) Ask {
	account.updateDemand(now)
	account.refresh(account.limit, now)
	if account.urgent && account.demand == 0 {
		account.demand = account.arrivals / RenewPeriod.Seconds()
	}
	account.urgent = false
	borrower.sequence++
	account.inFlight = borrower.sequence
	ask := Ask{
		ID: account.id, Limit: account.limit, Sequence: borrower.sequence, Held: account.heldSequence,
		Returned: account.excess + account.singles, Demand: account.demand, Waiting: account.waiting,
	}
	account.excess = 0
	account.singles = 0
	return ask
}

// Apply applies the collector's grants. Sent is a reading from before the asks were
// sent. It returns the organisations whose waiting requests should call Retry.
func (borrower *Borrower) Apply(collector string, sent timekeeper.Reading, grants []Grant, now timekeeper.Reading) []ID {
	var decided []ID
	for _, grant := range grants {
		account := borrower.accounts[grant.ID]
		if account == nil || account.inFlight == 0 || account.inFlight != grant.Sequence {
			continue
		}
		account.inFlight = 0
		account.apply(collector, sent, grant, now)
		decided = append(decided, grant.ID)
	}
	return decided
}

func (account *account) apply(collector string, sent timekeeper.Reading, grant Grant, now timekeeper.Reading) {
	account.refresh(account.limit, now)
	if collector != account.collector {
		// Tokens from another collector are dropped, because they must not be
		// returned to this one.
		account.excess = 0
		account.bucket.Resize(now.Mono, 0, 0)
		account.singles = 0
	}
	account.collector = collector
	account.heldSequence = grant.Sequence
	account.fractionLease = timekeeper.Lease{Start: sent, Duration: LoanDuration}
	account.singleLease = timekeeper.Lease{Start: sent, Duration: SingleLifetime}
	account.fraction = grant.Fraction
	if account.fractionLease.Lapsed(now) {
		account.fraction = 0
	}
	account.resize(now)
	account.bucket.Add(grant.Tokens)
	account.singles = grant.Singles
	account.reserved = grant.Reserved
	account.reservedReady = now.Mono + grant.Delay
	account.reservedLease = timekeeper.Lease{Start: sent, Duration: grant.Delay + SingleLifetime}
	if account.reservedLease.Remaining(now) <= grant.Delay {
		account.reserved = 0
	}
	if account.singleLease.Lapsed(now) {
		account.singles = 0
	}
	if grant.Fraction == 0 {
		account.declinedUntil = now.Mono + defaultRetryAfter
	}
	if grant.RetryAfter > 0 {
		account.deniedUntil = now.Mono + max(minRetryAfter, grant.RetryAfter)
	}
}

// Requeue marks asks as no longer in flight, so that they are sent to another
// collector at once.
func (borrower *Borrower) Requeue(asks []Ask) {
	for _, ask := range asks {
		if account := borrower.accounts[ask.ID]; account != nil && account.inFlight == ask.Sequence {
			account.inFlight = 0
		}
	}
}

// Fail gives up asks that got no answer. It returns the organisations whose waiting
// requests should call Retry.
func (borrower *Borrower) Fail(asks []Ask, now timekeeper.Reading) []ID {
	var decided []ID
	for _, ask := range asks {
		account := borrower.accounts[ask.ID]
		if account == nil || account.inFlight != ask.Sequence {
			continue
		}
		account.inFlight = 0
		account.deniedUntil = now.Mono + defaultRetryAfter
		decided = append(decided, ask.ID)
	}
	return decided
}
