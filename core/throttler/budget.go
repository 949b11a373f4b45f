package throttler

import "time"

// Budget bounds the attempts of a service beyond the first of each request,
// for a group of VMs. It isn't safe for concurrent use.
type Budget struct {
	// Ratio is the number of further attempts that a request pays for.
	Ratio  float64
	bucket Bucket
}

// spareBudget is the part of the budget that is kept for further attempts of
// VMs that have not heard of each other's yet.
const spareBudget = 0.25

// Set changes the extra attempts that the fleet may make in a window, of which
// the group has a part.
func (budget *Budget) Set(extra float64, window time.Duration, part float64, now time.Duration) {
	burst := extra * part * (1 - spareBudget)
	// Half of the extra attempts come back over the window; what was saved
	// before it and what comes in it stay within the whole.
	budget.bucket.Set(Limit{Rate: burst / 2 / window.Seconds(), Burst: burst / 2}, now)
}

// SetPart changes the share of the group's budget that this VM may use.
func (budget *Budget) SetPart(part float64, now time.Duration) { budget.bucket.SetPart(part, now) }

// Deposit takes note of a request at any VM of the group.
func (budget *Budget) Deposit(now time.Duration) {
	budget.bucket.Add(budget.Ratio*(1-spareBudget), now)
}

// Withdraw reports whether a further attempt fits the budget, and takes it.
func (budget *Budget) Withdraw(now time.Duration) bool {
	_, ok := budget.bucket.Take(now)
	return ok
}

// Spent takes note of a further attempt of another VM of the group.
func (budget *Budget) Spent(now time.Duration) { budget.bucket.Spent(1, now) }
