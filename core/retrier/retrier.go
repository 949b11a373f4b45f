// Package retrier decides whether a request may be retried or hedged and after which
// delay, and limits the retries of a service with a budget.
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
	// retriesPerRequest is the number of retries that each request adds to the budget.
	retriesPerRequest = 0.1
	// maxRetryTokens is the capacity of the budget, in retries.
	maxRetryTokens = 10
	// shedRetriesPerGood is the number of retries after shed requests that each good
	// answer adds to their budget.
	shedRetriesPerGood = 4
	// maxShedTokens is the capacity of the budget for retries of shed requests.
	maxShedTokens = 50
	// MaxAttempts bounds the consecutive attempts of one request, including those that
	// found no connection.
	MaxAttempts = 4
	// ShedBackoff is the mean pause before the next attempt of a request that all
	// tried targets have shed.
	ShedBackoff = 10 * time.Millisecond
	// maxCapacityWait caps the time that a request waits for capacity.
	maxCapacityWait = time.Second
)

// CapacityWait returns how long a request with the timeout may wait for capacity. It
// is short enough that the request is refused long before its deadline.
func CapacityWait(timeout time.Duration) time.Duration { return min(maxCapacityWait, timeout/4) }

// Budget limits the retries of a service in proportion to its requests, so that
// failing upstreams get at most a tenth more work. Shedding a request (refusing it for
// lack of capacity) costs an upstream little, so retries of shed requests have a budget
// of their own, which good answers also fill. Upstreams that shed everything get no
// more retries than failing ones. It isn't safe for concurrent use.
type Budget struct {
	tokens     float64
	shedTokens float64
}

// NewBudget returns a budget that already allows maxRetryTokens retries of each kind.
func NewBudget() *Budget { return &Budget{tokens: maxRetryTokens, shedTokens: maxRetryTokens} }

// Deposit adds the retries that one request earns.
func (budget *Budget) Deposit() {
	budget.tokens = min(maxRetryTokens, budget.tokens+retriesPerRequest)
	budget.shedTokens = min(maxShedTokens, budget.shedTokens+retriesPerRequest)
}

// DepositGood adds the retries of shed requests that one good answer earns.
func (budget *Budget) DepositGood() {
	budget.shedTokens = min(maxShedTokens, budget.shedTokens+shedRetriesPerGood)
}

// Refund returns the token of a retry that showed the first attempt's connection to be
// dead, so that many connections that die at once can all be replaced.
func (budget *Budget) Refund() { budget.tokens = min(maxRetryTokens, budget.tokens+1) }

// WithdrawShed takes one retry of a shed request from the budget. It reports false,
// and takes nothing, if that budget is exhausted.
func (budget *Budget) WithdrawShed() bool {
	if budget.shedTokens < 1 {
		return false
	}
	budget.shedTokens--
	return true
}

// Withdraw takes one retry from the budget. It reports false, and takes nothing, if
// the budget is exhausted.
func (budget *Budget) Withdraw() bool {
	if budget.tokens < 1 {
		return false
	}
	budget.tokens--
	return true
}

// Request holds the properties of a request that decide whether it may be retried.
type Request struct {
	// Idempotent is true if the request may run more than once.
	Idempotent bool
	// Replayable is true if the body can be sent again.
	Replayable bool
}

// Attempt is the outcome of an attempt, as far as retries depend on it.
type Attempt struct {
	// Written is true if at least one byte of the request was, or may have been, written.
	Written bool
	// SaidNotRun is true if the upstream stated that it did not run the request.
	SaidNotRun bool
}

// MayHaveRun reports whether the attempt may have run the request.
func (attempt Attempt) MayHaveRun() bool { return attempt.Written && !attempt.SaidNotRun }

// MayRetry reports whether the request may be sent again after the attempt. A request
// that isn't idempotent must not run twice, and one that isn't replayable must not be
// sent again without a part of its body.
func (request Request) MayRetry(attempt Attempt) bool {
	if attempt.MayHaveRun() && !request.Idempotent {
		return false
	}
	return !attempt.Written || request.Replayable
}

const (
	// latencyWeight and deviationWeight are the weights of a new latency in the smoothed
	// mean and in the smoothed deviation.
	latencyWeight   = 1.0 / 16
	deviationWeight = 1.0 / 8
	// deviationFactor is the number of deviations above the mean after which a request
	// is hedged.
	deviationFactor = 4
	// minSamples is the number of latencies from which the estimate is used.
	minSamples = 8
	// minHedgeDelay keeps scheduling delays from triggering hedged requests.
	minHedgeDelay = 20 * time.Millisecond
)

// Estimator derives the delay before a hedged request from the latencies of a service.
// Like the retransmission timer of TCP it uses the smoothed mean and deviation. It isn't
// safe for concurrent use.
type Estimator struct {
	mean      float64 // in nanoseconds, like deviation
	deviation float64
	samples   int
}

// Observe adds the latency of an answer.
func (estimator *Estimator) Observe(latency time.Duration) {
	value := float64(latency)
	estimator.samples++
	if estimator.samples == 1 {
		estimator.mean = value
		estimator.deviation = value / 2
		return
	}
	difference := value - estimator.mean
	estimator.mean += latencyWeight * difference
	estimator.deviation += deviationWeight * (max(difference, -difference) - estimator.deviation)
}

// MeanLatency returns the smoothed mean latency, or 0 while there are too few samples.
func (estimator *Estimator) MeanLatency() time.Duration {
	if estimator.samples < minSamples {
		return 0
	}
	return time.Duration(estimator.mean)
}

// HedgeDelay returns how long to wait for an answer before the same request is sent
// once more in parallel. It is at most maxDelay, and maxDelay while there are too few
// samples.
func (estimator *Estimator) HedgeDelay(maxDelay time.Duration) time.Duration {
	if estimator.samples < minSamples {
		return maxDelay
	}
	delay := time.Duration(estimator.mean + deviationFactor*estimator.deviation)
	return min(maxDelay, max(minHedgeDelay, delay))
}
