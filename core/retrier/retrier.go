// Package retrier decides whether a request may be sent once more, when, and
// how many such attempts the upstreams of a service have to bear.
//
// # Usage
//
//	budget := retrier.NewBudget()
//	budget.Deposit() // once a request
//	request := retrier.Request{Idempotent: true, Replayable: true}
//	if request.MayRetry(attempt) && budget.Withdraw() {
//		// Send it to another target.
//	}
package retrier

import "time"

const (
	// retryRatio is the number of retries a request adds to the budget.
	retryRatio = 0.1
	// retryBurst is the largest budget.
	retryBurst = 10
	// retriesPerGood is the number of retries after refusals for want of
	// capacity that a good answer adds to their budget.
	retriesPerGood = 4
	shedBurst      = 50
	// MaxAttempts bounds the attempts of one request in a row, those included
	// that found no connection.
	MaxAttempts = 4
	// ShedPause is the mean wait before a request is sent again that all tried
	// targets refused for want of capacity.
	ShedPause = 10 * time.Millisecond
	// longestPatience bounds the wait for capacity.
	longestPatience = time.Second
)

// Patience returns how long a request may wait for capacity, so that it is
// given up long before its deadline.
func Patience(timeout time.Duration) time.Duration { return min(longestPatience, timeout/4) }

// Budget bounds the retries of a service by its requests, so that upstreams
// which fail get at most a tenth more work. Refusals for want of capacity cost
// them little; retries after those are bounded by the good answers too, so that
// upstreams which refuse everything get no more than failing ones. It isn't
// safe for concurrent use.
type Budget struct {
	tokens     float64
	shedTokens float64
}

// NewBudget returns a budget for the first retries.
func NewBudget() *Budget { return &Budget{tokens: retryBurst, shedTokens: retryBurst} }

// Deposit takes note of a request.
func (budget *Budget) Deposit() {
	budget.tokens = min(retryBurst, budget.tokens+retryRatio)
	budget.shedTokens = min(shedBurst, budget.shedTokens+retryRatio)
}

// DepositGood takes note of a good answer.
func (budget *Budget) DepositGood() {
	budget.shedTokens = min(shedBurst, budget.shedTokens+retriesPerGood)
}

// Refund gives back the token of a retry that found the first attempt's
// connection silent, so that many which went silent at once are all replaced.
func (budget *Budget) Refund() { budget.tokens = min(retryBurst, budget.tokens+1) }

// WithdrawShed reports whether a retry after a refusal for want of capacity
// fits the budget, and takes it.
func (budget *Budget) WithdrawShed() bool {
	if budget.shedTokens < 1 {
		return false
	}
	budget.shedTokens--
	return true
}

// Withdraw reports whether a retry fits the budget, and takes it.
func (budget *Budget) Withdraw() bool {
	if budget.tokens < 1 {
		return false
	}
	budget.tokens--
	return true
}

// Request is what matters of a request for sending it again.
type Request struct {
	// Idempotent is true if the request may run more than once.
	Idempotent bool
	// Replayable is true if its body can be sent again.
	Replayable bool
}

// Attempt says what became of an attempt at an upstream.
type Attempt struct {
	// Written is true unless no byte of the request was written.
	Written bool
	// SaidNotRun is true if the upstream said that it did not run the request.
	SaidNotRun bool
}

// MayHaveRun reports whether the attempt may have run the request.
func (attempt Attempt) MayHaveRun() bool { return attempt.Written && !attempt.SaidNotRun }

// MayRetry reports whether another attempt can't run a request twice that must
// run once, nor send a part of it for the whole.
func (request Request) MayRetry(attempt Attempt) bool {
	if attempt.MayHaveRun() && !request.Idempotent {
		return false
	}
	return !attempt.Written || request.Replayable
}

const (
	latencyWeight   = 1.0 / 16
	deviationWeight = 1.0 / 8
	deviations      = 4
	warmUpAnswers   = 8
	// shortestDelay keeps pauses of the scheduler from looking like silence.
	shortestDelay = 20 * time.Millisecond
)

// Estimator tells from the latencies of a service how long an answer may take
// before silence is likely, as TCP does for its retransmissions. It isn't safe
// for concurrent use.
type Estimator struct {
	mean      float64
	deviation float64
	answers   int
}

// Observe takes note of a latency.
func (estimator *Estimator) Observe(latency time.Duration) {
	value := float64(latency)
	estimator.answers++
	if estimator.answers == 1 {
		estimator.mean = value
		estimator.deviation = value / 2
		return
	}
	difference := value - estimator.mean
	estimator.mean += latencyWeight * difference
	estimator.deviation += deviationWeight * (max(difference, -difference) - estimator.deviation)
}

// Usual returns the mean latency, 0 while too little is known.
func (estimator *Estimator) Usual() time.Duration {
	if estimator.answers < warmUpAnswers {
		return 0
	}
	return time.Duration(estimator.mean)
}

// Delay returns how long to wait before the same request is sent over another
// connection: at most longest, and just that while too little is known.
func (estimator *Estimator) Delay(longest time.Duration) time.Duration {
	if estimator.answers < warmUpAnswers {
		return longest
	}
	delay := time.Duration(estimator.mean + deviations*estimator.deviation)
	return min(longest, max(shortestDelay, delay))
}
