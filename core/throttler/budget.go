package throttler

import "time"

// Budget bounds the attempts of a service beyond the first of each request,
// for a group of VMs. It isn't safe for concurrent use.
type Budget struct {
	// Ratio is the number of further attempts that a request pays for.
	Ratio  float64
	bucket Bucket
}

const (
	// spareBudget is the part of the budget that is kept for further attempts of
	// VMs that have not heard of each other's yet.
	spareBudget = 0.1
	// savedExtra is the part of the extra attempts that may be saved up; the
	// rest comes evenly over the window, so that no window sees more than all.
	savedExtra = 0.35
	// keptSavings is the part of what can be saved up that is kept for failures
	// that nobody could foresee.
	keptSavings = 0.5
)

// Set changes the extra attempts that the fleet may make in a window, of which
// the group has a part.
func (budget *Budget) Set(extra float64, window time.Duration, part float64, now time.Duration) {
	usable := extra * part * (1 - spareBudget)
	budget.bucket.Set(Limit{Rate: usable * (1 - savedExtra) / window.Seconds(), Burst: usable * savedExtra}, now)
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

// Affords reports whether the budget can pay for a second attempt that is likely to
// be needed, and keep enough for those that nobody could foresee.
func (budget *Budget) Affords(now time.Duration) bool {
	budget.bucket.advance(now)
	return budget.bucket.level >= max(1, keptSavings*budget.bucket.burst())
}

// Spent takes note of a further attempt of another VM of the group.
func (budget *Budget) Spent(now time.Duration) { budget.bucket.Spent(1, now) }
