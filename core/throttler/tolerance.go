package throttler

import "time"

// Tolerance is how far the requests of an organisation may exceed its rate and burst
// in any window before the rate limit counts as violated.
type Tolerance struct {
	Window time.Duration
	// Overshoot is a fraction of what the rate and the burst allow in a window.
	Overshoot float64
	// Extra is a number of requests on top of that.
	Extra float64
}

// usedFraction is the largest fraction of burst plus tolerance that the buckets hold. The rest
// covers VMs that restart with a partly filled bucket within the window, and requests
// that VMs admit before they learn what their peers admitted.
const usedFraction = 0.75

// missedFraction is the fraction of the requests of a window that is left unused at least. A tenth of the debits can be
// lost or late when the load of an organisation rises, and they grow with its rate, not with its burst.
const missedFraction = 0.1

// maxUsedFraction is the fraction that the buckets may hold so that each holds a whole token.
const maxUsedFraction = 0.9

// Divide returns the limit of a bucket that has the given share of an organisation's
// rate and burst. Requests arrive unevenly at the buckets, so each also gets its share
// of the tolerance as burst: an organisation within its rate is then seldom refused.
// The rates of all buckets add up to the organisation's rate, and their bursts to less
// than burst plus tolerance. So with many buckets one may hold less than a token; requests
// then need a part of a token of another one, see Borrower.
func (tolerance Tolerance) Divide(rate, burst, share float64) Limit {
	allowed := rate*tolerance.Window.Seconds() + burst
	excess := allowed*tolerance.Overshoot + tolerance.Extra
	whole := min(1, (burst+excess)*maxUsedFraction*share)
	used := min((burst+excess)*usedFraction, burst+excess-allowed*missedFraction)
	return Limit{Rate: rate * share, Burst: max(whole, used*share)}
}
