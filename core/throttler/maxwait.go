package throttler

import "time"

const (
	// maxWaitFraction is the fraction of its latency objective that a request may wait
	// for a token. Processing takes a quarter to a half of the objective, so a request
	// that waited this long can still be answered within it.
	maxWaitFraction = 0.4
	// maxWaitLimit caps the wait, so that requests with long objectives don't take the
	// tokens of those with short ones.
	maxWaitLimit = 400 * time.Millisecond
)

// MaxWait returns how long a request may wait for a token of its organisation, given
// the latency objective of its route and the time until its deadline. A request that
// would have to wait longer is refused at once.
//
// Waiting absorbs load that arrives unevenly at groups of VMs with a small share of
// the rate each: the next token is often close, and a refused caller retries late or
// not at all.
func MaxWait(objective, remaining time.Duration) time.Duration {
	if objective <= 0 {
		return 0
	}
	return min(time.Duration(maxWaitFraction*float64(min(objective, remaining))), maxWaitLimit)
}
