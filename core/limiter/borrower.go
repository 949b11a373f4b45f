package limiter

import (
	"math"
	"time"

	"godwitramp.example/core/timekeeper"
)

const (
	demandTimeConstant = 2 * time.Second
	minRetryAfter      = 20 * time.Millisecond
	defaultRetryAfter  = 250 * time.Millisecond
	accountIdleTimeout = 30 * time.Second
	negligibleDemand   = 0.01 // tokens a second
)

// Verdict says what happens to a request.
type Verdict struct {
	// Allowed is true if the request has its token.
	Allowed bool
	// Wait is true if the next answer of the collector decides.
	Wait bool
	// Delay is how long a request that is inside must wait before it runs. By
	// then its token has been minted.
	Delay time.Duration
	// TokenLease is until when the token of a delayed request may be used.
	TokenLease timekeeper.Lease
	// RetryAfter is when a refused caller should come back.
	RetryAfter time.Duration
}

// Borrower holds what one VM has borrowed. It isn't safe for concurrent use.
type Borrower struct {
	accounts  map[ID]*account
	pending   []*account
	sequence  uint64
	renewedAt time.Duration
}

// account is what a VM has borrowed of one organisation's limit.
type account struct {
	id    ID
	limit Limit

	bucket        Bucket
	collector     string
	heldSequence  uint64
	fraction      float64
	fractionLease timekeeper.Lease
	singles       float64
	singleLease   timekeeper.Lease
	excess        float64
	reserved      float64
	reservedReady time.Duration
	reservedLease timekeeper.Lease

	inFlight      uint64 // sequence of the ask in flight, or 0
	waiting       float64
	queued        bool          // among the borrower's wanting accounts
	urgent        bool          // wants a fraction before the next renewal
	deniedUntil   time.Duration // until when requests don't wait
	declinedUntil time.Duration // until when no fraction is asked for eagerly
	arrivals      float64
	demand        float64
	measuredAt    time.Duration
	usedAt        time.Duration
}

// NewBorrower returns a borrower that holds nothing.
func NewBorrower() *Borrower { return &Borrower{accounts: make(map[ID]*account)} }

// Accounts returns how many organisations the borrower keeps state for.
func (borrower *Borrower) Accounts() int { return len(borrower.accounts) }

// Take asks for one token for a new request.
func (borrower *Borrower) Take(id ID, limit Limit, now timekeeper.Reading) Verdict {
	return borrower.TakeN(id, limit, 1, now)
}

// TakeN asks for n tokens.
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

// recordArrival returns the account of an organisation that wants n tokens more.
func (borrower *Borrower) recordArrival(id ID, limit Limit, n float64, now timekeeper.Reading) *account {
	account := borrower.accounts[id]
	if account == nil {
		account = borrower.open(id, limit, now)
	}
	account.arrivals += n
	account.usedAt = now.Mono
	account.refresh(limit, now)
	return account
}

// TryTake takes n tokens if the VM has them, and asks for a fraction if it has
// none. Nothing waits.
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

// Charge charges n tokens that were used without having been taken. What the VM
// mints pays them first.
func (borrower *Borrower) Charge(id ID, n float64, now timekeeper.Reading) {
	if account := borrower.accounts[id]; account != nil {
		account.bucket.Charge(now.Mono, n)
	}
}

// Retry decides on a request that has waited for an answer. It may have to
// wait for the next one, if it came after the ask had been sent.
func (borrower *Borrower) Retry(id ID, now timekeeper.Reading) Verdict {
	return borrower.RetryN(id, 1, now)
}

// RetryN decides on a wait for n tokens.
func (borrower *Borrower) RetryN(id ID, n float64, now timekeeper.Reading) Verdict {
	account := borrower.accounts[id]
	if account == nil {
		return Verdict{RetryAfter: defaultRetryAfter}
	}
	account.refresh(account.limit, now)
	inside := account.take(n, now)
	if !inside && account.reserved >= n {
		account.reserved -= n
		account.waiting = max(0, account.waiting-n)
		return Verdict{Allowed: true, Delay: max(0, account.reservedReady-now.Mono), TokenLease: account.reservedLease}
	}
	if !inside && now.Mono >= account.deniedUntil {
		return Verdict{Wait: true}
	}
	account.waiting = max(0, account.waiting-n)
	return Verdict{Allowed: inside, RetryAfter: max(0, account.deniedUntil-now.Mono)}
}

// Abandon takes note that a request no longer waits for n tokens.
func (borrower *Borrower) Abandon(id ID, n float64) {
	if account := borrower.accounts[id]; account != nil {
		account.waiting = max(0, account.waiting-n)
	}
}

func (borrower *Borrower) open(id ID, limit Limit, now timekeeper.Reading) *account {
	account := &account{id: id, limit: limit, measuredAt: now.Mono}
	borrower.accounts[id] = account
	return account
}

// refresh applies the configuration in force and lets go what has lapsed.
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

// resize fits the bucket to the fraction and keeps the tokens that have no
// room any more, to be returned.
func (account *account) resize(now timekeeper.Reading) {
	rate := account.fraction * account.limit.Rate
	burst := account.fraction * account.limit.Burst
	account.excess += account.bucket.Resize(now.Mono, rate, burst)
}

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

// Asks returns the asks that are due: those with requests waiting, and each
// RenewPeriod those of the organisations that requests have come for lately.
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

// HasPending reports whether an ask with requests waiting could be sent.
func (borrower *Borrower) HasPending() bool {
	for _, account := range borrower.pending {
		if account.inFlight == 0 && (account.waiting > 0 || account.urgent) {
			return true
		}
	}
	return false
}

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

// wantsFraction reports whether a fraction as large as the demand could hold
// whole tokens. Less demand is served by single tokens, on request.
func (account *account) wantsFraction() bool {
	return WorthLending(account.demand/account.limit.Rate, account.limit)
}

// WorthLending reports whether a bucket of the fraction holds enough whole
// tokens, and mints them fast enough, to be worth a loan.
func WorthLending(fraction float64, limit Limit) bool {
	const minTokens, minRate = 2, 2
	return fraction*limit.Burst >= minTokens && fraction*limit.Rate >= minRate
}

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

// Apply takes the collector's grants into account. Sent is read before the
// asks were sent. It returns the organisations whose waiting requests can be
// decided now.
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
		// What another collector lent is given up: it must not be reported to
		// this one.
		account.excess = 0
		account.bucket.Resize(now.Mono, 0, 0)
		account.singles = 0
	}
	account.collector = collector
	account.heldSequence = grant.Sequence
	account.fractionLease = timekeeper.Lease{Start: sent, Length: LoanDuration}
	account.singleLease = timekeeper.Lease{Start: sent, Length: SingleLifetime}
	account.fraction = grant.Fraction
	if account.fractionLease.Lapsed(now) {
		account.fraction = 0
	}
	account.resize(now)
	account.bucket.Add(grant.Tokens)
	account.singles = grant.Singles
	account.reserved = grant.Reserved
	account.reservedReady = now.Mono + grant.Delay
	account.reservedLease = timekeeper.Lease{Start: sent, Length: grant.Delay + SingleLifetime}
	if account.reservedLease.Left(now) <= grant.Delay {
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

// Requeue gives up asks that should go to another collector at once.
func (borrower *Borrower) Requeue(asks []Ask) {
	for _, ask := range asks {
		if account := borrower.accounts[ask.ID]; account != nil && account.inFlight == ask.Sequence {
			account.inFlight = 0
		}
	}
}

// Fail gives up asks that got no answer. It returns the organisations whose
// waiting requests can be decided now.
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
