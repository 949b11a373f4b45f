package limiter

import (
	"math"
	"time"

	"godwitramp.example/core/timekeeper"
)

const (
	demandMemory   = 2 * time.Second
	minDenial      = 20 * time.Millisecond
	defaultDenial  = 250 * time.Millisecond
	idleAccountAge = 30 * time.Second
	negligible     = 0.01 // tokens a second
)

// Verdict says what happens to a request.
type Verdict struct {
	// Inside is true if the request has its token.
	Inside bool
	// Wait is true if the next answer of the collector decides.
	Wait bool
	// Delay is how long a request that is inside must wait before it runs. By
	// then its token has been minted.
	Delay time.Duration
	// Until is until when the token of a delayed request may be used.
	Until timekeeper.Lease
	// RetryAfter is when a refused caller should come back.
	RetryAfter time.Duration
}

// Borrower holds what one VM has borrowed. It isn't safe for concurrent use.
type Borrower struct {
	accounts map[ID]*account
	wanting  []*account
	sequence uint64
	renewed  time.Duration
}

// account is what a VM has borrowed of one organisation's limit.
type account struct {
	id    ID
	limit Limit

	bucket    Bucket
	collector string
	held      uint64
	fraction  float64
	lease     timekeeper.Lease
	singles   float64
	singleEnd timekeeper.Lease
	excess    float64
	reserved  float64
	ready     time.Duration
	promise   timekeeper.Lease

	asked    uint64 // sequence of the ask in flight, or 0
	waiting  float64
	listed   bool          // among the borrower's wanting accounts
	eager    bool          // wants a fraction before the next renewal
	denied   time.Duration // until when requests don't wait
	declined time.Duration // until when no fraction is asked for eagerly
	arrivals float64
	demand   float64
	measured time.Duration
	used     time.Duration
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
	account := borrower.arrive(id, limit, n, now)
	if account.take(n, now) {
		return Verdict{Inside: true}
	}
	if now.Mono < account.denied {
		return Verdict{RetryAfter: account.denied - now.Mono}
	}
	if !account.listed {
		account.listed = true
		borrower.wanting = append(borrower.wanting, account)
	}
	account.waiting += n
	return Verdict{Wait: true}
}

// arrive returns the account of an organisation that wants n tokens more.
func (borrower *Borrower) arrive(id ID, limit Limit, n float64, now timekeeper.Reading) *account {
	account := borrower.accounts[id]
	if account == nil {
		account = borrower.open(id, limit, now)
	}
	account.arrivals += n
	account.used = now.Mono
	account.refresh(limit, now)
	return account
}

// Try takes n tokens if the VM has them, and asks for a fraction if it has
// none. Nothing waits.
func (borrower *Borrower) Try(id ID, limit Limit, n float64, now timekeeper.Reading) bool {
	account := borrower.arrive(id, limit, n, now)
	if account.take(n, now) {
		return true
	}
	if account.fraction == 0 && now.Mono >= account.declined && !account.listed {
		account.eager = true
		account.listed = true
		borrower.wanting = append(borrower.wanting, account)
	}
	return false
}

// Owe charges n tokens that were used without having been taken. What the VM
// mints pays them first.
func (borrower *Borrower) Owe(id ID, n float64, now timekeeper.Reading) {
	if account := borrower.accounts[id]; account != nil {
		account.bucket.Owe(now.Mono, n)
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
		return Verdict{RetryAfter: defaultDenial}
	}
	account.refresh(account.limit, now)
	inside := account.take(n, now)
	if !inside && account.reserved >= n {
		account.reserved -= n
		account.waiting = max(0, account.waiting-n)
		return Verdict{Inside: true, Delay: max(0, account.ready-now.Mono), Until: account.promise}
	}
	if !inside && now.Mono >= account.denied {
		return Verdict{Wait: true}
	}
	account.waiting = max(0, account.waiting-n)
	return Verdict{Inside: inside, RetryAfter: max(0, account.denied-now.Mono)}
}

// Abandon takes note that a request no longer waits for n tokens.
func (borrower *Borrower) Abandon(id ID, n float64) {
	if account := borrower.accounts[id]; account != nil {
		account.waiting = max(0, account.waiting-n)
	}
}

func (borrower *Borrower) open(id ID, limit Limit, now timekeeper.Reading) *account {
	account := &account{id: id, limit: limit, measured: now.Mono}
	borrower.accounts[id] = account
	return account
}

// refresh applies the configuration in force and lets go what has lapsed.
func (account *account) refresh(limit Limit, now timekeeper.Reading) {
	if account.singles > 0 && account.singleEnd.Lapsed(now) {
		account.singles = 0
	}
	if account.fraction > 0 && account.lease.Lapsed(now) {
		account.fraction = 0
		account.held = 0
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
	kept := borrower.wanting[:0]
	for _, account := range borrower.wanting {
		account.listed = account.waiting > 0 || account.eager
		if !account.listed {
			continue
		}
		kept = append(kept, account)
		if account.asked == 0 {
			asks = append(asks, borrower.ask(account, now))
		}
	}
	clear(borrower.wanting[len(kept):])
	borrower.wanting = kept
	if now.Mono-borrower.renewed < RenewPeriod {
		return asks
	}
	borrower.renewed = now.Mono
	return borrower.renewals(asks, now)
}

// Wanting reports whether an ask with requests waiting could be sent.
func (borrower *Borrower) Wanting() bool {
	for _, account := range borrower.wanting {
		if account.asked == 0 && (account.waiting > 0 || account.eager) {
			return true
		}
	}
	return false
}

func (borrower *Borrower) renewals(asks []Ask, now timekeeper.Reading) []Ask {
	for id, account := range borrower.accounts {
		account.refresh(account.limit, now)
		if account.asked != 0 {
			continue
		}
		if account.fraction == 0 && account.waiting == 0 && now.Mono-account.used > idleAccountAge {
			delete(borrower.accounts, id)
			continue
		}
		account.measure(now)
		if account.fraction > 0 || account.wantsFraction() {
			asks = append(asks, borrower.ask(account, now))
		}
	}
	return asks
}

// wantsFraction reports whether a fraction as large as the demand could hold
// whole tokens. Less demand is served by single tokens, on request.
func (account *account) wantsFraction() bool {
	return Worthwhile(account.demand/account.limit.Rate, account.limit)
}

// Worthwhile reports whether a bucket of the fraction holds enough whole
// tokens, and mints them fast enough, to be worth a loan.
func Worthwhile(fraction float64, limit Limit) bool {
	const minTokens, minRate = 2, 2
	return fraction*limit.Burst >= minTokens && fraction*limit.Rate >= minRate
}

func (account *account) measure(now timekeeper.Reading) {
	elapsed := now.Mono - account.measured
	if elapsed < RenewPeriod/2 {
		return
	}
	weight := 1 - math.Exp(-elapsed.Seconds()/demandMemory.Seconds())
	account.demand += weight * (account.arrivals/elapsed.Seconds() - account.demand)
	if account.demand < negligible {
		account.demand = 0
	}
	account.arrivals = 0
	account.measured = now.Mono
}

func (borrower *Borrower) ask(account *account, now timekeeper.Reading) Ask {
	account.measure(now)
	account.refresh(account.limit, now)
	if account.eager && account.demand == 0 {
		account.demand = account.arrivals / RenewPeriod.Seconds()
	}
	account.eager = false
	borrower.sequence++
	account.asked = borrower.sequence
	ask := Ask{
		ID: account.id, Limit: account.limit, Sequence: borrower.sequence, Held: account.held,
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
		if account == nil || account.asked == 0 || account.asked != grant.Sequence {
			continue
		}
		account.asked = 0
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
	account.held = grant.Sequence
	account.lease = timekeeper.Lease{Start: sent, Length: LoanLength}
	account.singleEnd = timekeeper.Lease{Start: sent, Length: SingleLength}
	account.fraction = grant.Fraction
	if account.lease.Lapsed(now) {
		account.fraction = 0
	}
	account.resize(now)
	account.bucket.Add(grant.Tokens)
	account.singles = grant.Singles
	account.reserved = grant.Reserved
	account.ready = now.Mono + grant.Delay
	account.promise = timekeeper.Lease{Start: sent, Length: grant.Delay + SingleLength}
	if account.promise.Left(now) <= grant.Delay {
		account.reserved = 0
	}
	if account.singleEnd.Lapsed(now) {
		account.singles = 0
	}
	if grant.Fraction == 0 {
		account.declined = now.Mono + defaultDenial
	}
	if grant.RetryAfter > 0 {
		account.denied = now.Mono + max(minDenial, grant.RetryAfter)
	}
}

// Repeat gives up asks that should go to another collector at once.
func (borrower *Borrower) Repeat(asks []Ask) {
	for _, ask := range asks {
		if account := borrower.accounts[ask.ID]; account != nil && account.asked == ask.Sequence {
			account.asked = 0
		}
	}
}

// Fail gives up asks that got no answer. It returns the organisations whose
// waiting requests can be decided now.
func (borrower *Borrower) Fail(asks []Ask, now timekeeper.Reading) []ID {
	var decided []ID
	for _, ask := range asks {
		account := borrower.accounts[ask.ID]
		if account == nil || account.asked != ask.Sequence {
			continue
		}
		account.asked = 0
		account.denied = now.Mono + defaultDenial
		decided = append(decided, ask.ID)
	}
	return decided
}
