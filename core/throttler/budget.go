package throttler

import "time"

// Budget is the retry budget of one service, shared by a group of VMs: it bounds
// the attempts after the first of each request. It isn't safe for concurrent use.
type Budget struct {
	// Ratio is the number of retries that each request adds to the budget.
	Ratio  float64
	bucket Bucket
}

const (
	// unspentMargin is the share of the budget that is left unused, to cover retries
	// that peers have made but not reported yet.
	unspentMargin = 0.1
	// burstFraction is the share of the extra attempts that may accumulate as burst.
	// The rest is refilled evenly over the window, so that no window has more than
	// the total.
	burstFraction = 0.35
	// failureReserve is the share of the burst that is reserved for retries after
	// unexpected failures.
	failureReserve = 0.5
)

// Set sets the number of extra attempts that the fleet may make per window and the
// group's share of them.
func (budget *Budget) Set(extraAttempts float64, window time.Duration, share float64, now time.Duration) {
	usable := extraAttempts * share * (1 - unspentMargin)
	budget.bucket.Set(Limit{Rate: usable * (1 - burstFraction) / window.Seconds(), Burst: usable * burstFraction}, now)
}

// SetShare sets the share of the group's budget that this VM may use, from 0 to 1.
func (budget *Budget) SetShare(share float64, now time.Duration) { budget.bucket.SetShare(share, now) }

// Believe sets what this VM has reason to believe about its group.
func (budget *Budget) Believe(belief Belief, now time.Duration) { budget.bucket.Believe(belief, now) }

// Since returns the time from which the loss of messages matters, see Bucket.Since.
func (budget *Budget) Since(now time.Duration) time.Duration { return budget.bucket.Since(now) }

// Deposit adds the retries that one request earns, less the margin. Call it for the
// requests of every VM of the group.
func (budget *Budget) Deposit(now time.Duration) {
	budget.bucket.Add(budget.Ratio*(1-unspentMargin), now)
}

// Withdraw takes one retry from the budget. It reports false, and takes nothing, if
// the budget is exhausted.
func (budget *Budget) Withdraw(now time.Duration) bool {
	_, ok := budget.bucket.Take(now)
	return ok
}

// AffordsLikelyRetry reports whether the budget can pay for a retry that is likely to
// be needed, such as after an attempt at a doubtful target, without using the reserve
// for unexpected failures. It takes nothing.
func (budget *Budget) AffordsLikelyRetry(now time.Duration) bool {
	budget.bucket.advance(now)
	return budget.bucket.usable() >= max(1, failureReserve*budget.bucket.burst())
}

// AffordsHedge reports whether the budget can pay for a hedge and then still has the reserve and a whole token for
// retries after failures. A budget that never holds that much pays for hedges while it is full. It takes nothing.
func (budget *Budget) AffordsHedge(now time.Duration) bool {
	budget.bucket.advance(now)
	usable, burst := budget.bucket.usable(), budget.bucket.burst()
	return usable >= 1 && usable >= min(burst, 1+max(1, failureReserve*burst))
}

// Debit deducts a retry that another VM of the group made.
func (budget *Budget) Debit(now time.Duration) { budget.bucket.Debit(1, now) }
