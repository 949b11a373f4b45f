package throttler

import (
	"math"
	"time"
)

// Scope says which other groups of VMs are asked for tokens.
type Scope int

// The scopes, in the order in which they are asked: traffic within a data centre is free,
// and between regions it is dear and slow.
const (
	// DataCentre are some other groups of the VM's data centre.
	DataCentre Scope = iota
	// Region are a group of each other data centre of the region.
	Region
	// Fleet are a group of each data centre of the other regions.
	Fleet
)

const (
	// ShortWait is the wait for the next token of the VM's own group up to which other
	// groups aren't asked.
	ShortWait = 20 * time.Millisecond
	// initialPause and maxPause bound the time after a round in vain until the next one.
	// An organisation above its rate is out of tokens everywhere; asking for them again
	// and again would only load the fleet.
	initialPause = 100 * time.Millisecond
	maxPause     = 3 * time.Second
	// minLenders and maxLenders bound the groups of a data centre that are asked at once.
	// lendersMargin is how many times the missing tokens the asked buckets hold when full.
	minLenders    = 3
	maxLenders    = 16
	lendersMargin = 2
)

// answerTimes are the times within which an answer of each scope is expected. They leave
// some milliseconds for the small processors of the VMs.
var answerTimes = [...]time.Duration{DataCentre: 15 * time.Millisecond, Region: 25 * time.Millisecond, Fleet: 60 * time.Millisecond}

// Borrower lets a VM borrow tokens of one organisation from other groups when its own has
// none. It holds what was borrowed until it is spent, and decides whom to ask next. It
// answers load that is spread unevenly: a group of VMs has a small part of an
// organisation's rate, so its requests often arrive while another group has a token left.
//
// A lender takes the tokens out of its bucket before it sends them, so a lost message
// loses tokens and never makes any. An answer must count once: the caller passes each
// answer to one ask only.
//
// The zero value has nothing. It isn't safe for concurrent use.
type Borrower struct {
	// borrowed are the tokens that no request has spent yet. What is left at the end of a
	// round goes to the bucket of the VM's group: tokens that are lent don't count towards
	// the lender's burst any more, so they must not accumulate elsewhere.
	borrowed float64
	active   bool
	scope    Scope
	// unanswered counts the asks of the scope without an answer; it is too low by the answers
	// to earlier scopes that came late. scopeEnds is zero before the first ask of a round.
	unanswered int
	scopeEnds  time.Duration
	// waiting is the number of requests that wait for a token.
	waiting int
	// last is the last scope of the present round.
	last      Scope
	failures  int
	nextRound time.Duration
}

// Missing returns the tokens that the waiting requests lack, given the bucket's level.
func (borrower *Borrower) Missing(level float64) float64 {
	return float64(max(1, borrower.waiting)) - max(0, level) - borrower.borrowed
}

// Wait counts a request that waits for a borrowed token, and Leave one that no longer does.
func (borrower *Borrower) Wait() { borrower.waiting++ }

// Leave counts a request that no longer waits.
func (borrower *Borrower) Leave() { borrower.waiting = max(0, borrower.waiting-1) }

// Start begins a round for an organisation with the given bucket. It returns false if one is
// in progress, or if the last one was in vain too shortly ago. If the organisation's demand
// has been above the rate of the bucket for some time, it is likely to be so everywhere, and
// other regions aren't asked.
func (borrower *Borrower) Start(bucket *Bucket, now time.Duration) bool {
	if borrower.active || now < borrower.nextRound {
		return false
	}
	borrower.active, borrower.scope, borrower.last = true, DataCentre, Fleet
	if bucket.advance(now); bucket.overloaded(now) {
		borrower.last = Region
	}
	return true
}

// Active reports whether a round is in progress.
func (borrower *Borrower) Active() bool { return borrower.active }

// Lenders returns how many groups of the data centre to ask for the missing tokens if a
// group's bucket holds at most the given burst.
func Lenders(missing, burst float64) int {
	if burst <= 0 {
		return minLenders
	}
	return int(min(maxLenders, max(minLenders, math.Ceil(lendersMargin*missing/burst))))
}

// Asked records how many groups were asked for tokens within the scope that Next returned.
// Some of them may have answered already.
func (borrower *Borrower) Asked(groups int) { borrower.unanswered += groups - 1 }

// Remaining returns how long the answers of the scope are still waited for.
func (borrower *Borrower) Remaining(now time.Duration) time.Duration {
	return max(0, borrower.scopeEnds-now)
}

// Answer records the tokens of an answer; zero if the lender has none. Tokens that come
// after the round are the bucket's: see Leftover.
func (borrower *Borrower) Answer(tokens float64) {
	borrower.unanswered--
	if tokens > 0 { // not a number either
		borrower.borrowed += tokens
	}
}

// Leftover takes the tokens that no request of this VM waits for, and returns how many. The
// caller adds them to the bucket and tells the VM's group.
func (borrower *Borrower) Leftover() float64 {
	if borrower.active || borrower.waiting > 0 {
		return 0
	}
	leftover := borrower.borrowed
	borrower.borrowed = 0
	return leftover
}

// Next returns the scope to ask next, given the bucket's level, and false if none is to be
// asked now: the answers of the last scope are still expected, or the round has ended. The
// caller asks at once, and calls Asked.
func (borrower *Borrower) Next(level float64, now time.Duration) (Scope, bool) {
	switch {
	case !borrower.active:
		return 0, false
	case borrower.waiting == 0 || borrower.Missing(level) <= 0:
		borrower.end(true, now)
		return 0, false
	case borrower.unanswered > 0 && now < borrower.scopeEnds:
		return 0, false
	case borrower.scopeEnds > 0 && borrower.scope == borrower.last:
		borrower.end(false, now)
		return 0, false
	case borrower.scopeEnds > 0:
		borrower.scope++
	}
	borrower.unanswered, borrower.scopeEnds = 1, now+answerTimes[borrower.scope]
	return borrower.scope, true
}

func (borrower *Borrower) end(enough bool, now time.Duration) {
	borrower.active, borrower.unanswered, borrower.scopeEnds = false, 0, 0
	if enough {
		borrower.failures, borrower.nextRound = 0, now
		return
	}
	borrower.nextRound = now + min(maxPause, initialPause<<min(borrower.failures, 5))
	borrower.failures++
}

// Spend takes one token, out of what was borrowed and the bucket. It returns the part that came
// out of the bucket, which the VM's group has to be told of, and false if there is less
// than one token.
func (borrower *Borrower) Spend(bucket *Bucket, now time.Duration) (own float64, ok bool) {
	if borrower.borrowed+max(0, bucket.Level(now)) < 1 {
		return 0, false
	}
	borrowed := min(1, borrower.borrowed)
	borrower.borrowed -= borrowed
	bucket.level -= 1 - borrowed
	return 1 - borrowed, true
}

// Level returns the tokens in the bucket that this VM may spend. It is negative if later ones are reserved.
func (bucket *Bucket) Level(now time.Duration) float64 {
	bucket.advance(now)
	return bucket.usable()
}

// Burst returns the most tokens that the bucket holds.
func (bucket *Bucket) Burst() float64 { return bucket.burst() }

// Lend takes up to the given number of tokens out of the bucket for another group, and
// returns how many. The VM's group has to be told before they are sent.
func (bucket *Bucket) Lend(wanted float64, now time.Duration) float64 {
	bucket.advance(now)
	if !(wanted > 0) || bucket.usable() <= 0 {
		return 0
	}
	lent := min(wanted, bucket.usable())
	bucket.level -= lent
	return lent
}
