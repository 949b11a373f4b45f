// Package throttler implements distributed token buckets: it limits the request
// rate of organisations and the retries of services over the VMs of a fleet.
//
// The fleet's rate is divided evenly between data centres, and in each of them
// between groups of VMs. The VMs of a group share one bucket: each VM keeps a
// replica and reports every token that it takes to its peers. A VM that can't reach
// all of its group may use only the share of the VMs that it can reach, itself
// included, and withholds the share of those that it has not heard a moment ago, so the parts
// of a group that are cut off from each other spend little more than its limit together. A
// group that has no token left can borrow from others, see Borrower.
//
// # Usage
//
//	bucket := &throttler.Bucket{}
//	bucket.Set(throttler.Limit{Rate: 40, Burst: 50}, now)
//	beliefs := throttler.Beliefs{Since: bucket.Since(now), Now: now}
//	beliefs.Add(hearing) // for each other VM of the group
//	bucket.Believe(beliefs.Belief(), now)
//	wait, ok := bucket.Reserve(maxWait, now)
//	if !ok {
//		// Refuse; the caller may retry after the wait.
//	}
//	// Send the request after the wait.
//	bucket.Debit(1, now) // a peer took a token
package throttler

import "time"

// Limit is the refill rate and the capacity of a bucket.
type Limit struct {
	// Rate is in tokens per second.
	Rate float64
	// Burst is in tokens.
	Burst float64
}

// initialLevel is the fraction of the burst that a VM starts with. Its group may
// have spent the rest just before it started.
const initialLevel = 0.2

// Bucket is a VM's replica of its group's token bucket. The zero value is empty and
// has no limit. It isn't safe for concurrent use.
type Bucket struct {
	limit Limit
	// share is the share of the limit that this VM may use, and heard the part of it that belongs to VMs
	// that were heard a moment ago, this one included.
	share, heard float64
	// level are the tokens of the share. withheld of them belong to VMs that were not heard lately, which
	// may have spent them.
	level, withheld float64
	// believedAt is the time of the last call of Believe.
	believedAt time.Duration
	updated    time.Duration
	configured bool
	// lastSurplusAt is when the bucket last held more than the next request needs.
	lastSurplusAt time.Duration
}

const (
	// surplusLevel is the level at which a bucket has more than the next request
	// needs: a token has gone unused for half the refill interval.
	surplusLevel = 1.5
	// surplusShare is the share of the burst that is a surplus if that is less.
	surplusShare = 0.75
	// overloadTokens is the number of refill intervals without a surplus after which
	// demand counts as above the rate. From then on requests are refused instead of
	// queued: waiting would delay every request and serve no more of them.
	overloadTokens = 4
	// minOverloadTime is the shortest time without a surplus that counts as overload,
	// so that a short burst of requests doesn't.
	minOverloadTime = time.Second
)

// Set sets the limit of the group. The first call also fills the bucket to its
// initial level.
func (bucket *Bucket) Set(limit Limit, now time.Duration) {
	if !bucket.configured {
		bucket.configured = true
		bucket.share, bucket.heard = 1, 1
		bucket.updated, bucket.lastSurplusAt, bucket.believedAt = now, now, now
		bucket.limit = limit
		bucket.level = initialLevel * limit.Burst
		return
	}
	bucket.advance(now)
	bucket.limit = limit
	bucket.level = min(bucket.level, bucket.burst())
}

// SetShare sets the share of the limit that this VM may use, from 0 to 1, all of which it has heard.
func (bucket *Bucket) SetShare(share float64, now time.Duration) {
	bucket.Believe(Belief{Reachable: share, Heard: share}, now)
}

// Believe sets what this VM has reason to believe about its group. The tokens of VMs that are out of reach
// are lost to it, also when they are back: they may have spent them.
func (bucket *Bucket) Believe(belief Belief, now time.Duration) {
	bucket.advance(now)
	bucket.believedAt = now
	bucket.setShare(min(bucket.share, belief.Reachable-belief.Lost))
	bucket.share = belief.Reachable
	bucket.setHeard(min(belief.Reachable, belief.Heard))
	bucket.level = min(bucket.level, bucket.burst())
}

// Since returns the time from which the loss of messages matters to this bucket: the last call of Believe, or
// the time in which the bucket has filled since.
func (bucket *Bucket) Since(now time.Duration) time.Duration {
	if bucket.limit.Rate <= 0 {
		return bucket.believedAt
	}
	return max(bucket.believedAt, now-time.Duration(bucket.limit.Burst/bucket.limit.Rate*float64(time.Second)))
}

// Withholds reports whether the bucket has a token that this VM may not spend until it hears other VMs.
func (bucket *Bucket) Withholds(now time.Duration) bool {
	bucket.advance(now)
	return bucket.level >= 1 && bucket.usable() < 1
}

// setShare reduces the share to one that is not larger. The rest of the tokens is lost.
func (bucket *Bucket) setShare(share float64) {
	bucket.setHeard(min(share, bucket.heard))
	if share < bucket.share {
		lost := bucket.withheld * (bucket.share - share) / (bucket.share - bucket.heard)
		bucket.level -= lost
		bucket.withheld -= lost
	}
	bucket.share = share
}

// setHeard withholds the tokens of VMs that are not heard any more, and releases those of VMs that are heard
// again.
func (bucket *Bucket) setHeard(heard float64) {
	switch {
	case heard < bucket.heard && bucket.heard > 0:
		bucket.withheld += max(0, bucket.usable()) * (bucket.heard - heard) / bucket.heard
	case heard > bucket.heard && bucket.share > bucket.heard:
		bucket.withheld *= (bucket.share - min(heard, bucket.share)) / (bucket.share - bucket.heard)
	}
	bucket.heard = heard
}

// usable returns the tokens that this VM may spend.
func (bucket *Bucket) usable() float64 { return bucket.level - bucket.withheld }

// ResetLevel sets the bucket to its initial level. Call it when a VM has just joined
// its group: until then its peers did not know of the tokens that it took.
func (bucket *Bucket) ResetLevel(now time.Duration) {
	bucket.advance(now)
	bucket.level, bucket.withheld = initialLevel*bucket.burst(), 0
	if bucket.share > 0 {
		bucket.withheld = bucket.level * (bucket.share - bucket.heard) / bucket.share
	}
}

// Take takes a token without waiting. If there is none, it returns the time until
// one may be available, and false.
func (bucket *Bucket) Take(now time.Duration) (time.Duration, bool) { return bucket.Reserve(0, now) }

// Reserve takes a token that is available now or within maxWait, and returns how
// long the request must wait for it. Reservations are served in order. If no token
// becomes available in time, or no token is available now and demand is above the
// rate, it takes none and returns the time until one may be available, and false.
func (bucket *Bucket) Reserve(maxWait, now time.Duration) (time.Duration, bool) {
	bucket.advance(now)
	wait := bucket.wait()
	if wait > maxWait || wait > 0 && bucket.overloaded(now) {
		return wait, false
	}
	bucket.level--
	return wait, true
}

// Available reports whether a token is available now.
func (bucket *Bucket) Available(now time.Duration) bool { return bucket.Wait(now) == 0 }

// Wait returns the time until a token is available, at most ten seconds.
func (bucket *Bucket) Wait(now time.Duration) time.Duration {
	bucket.advance(now)
	return bucket.wait()
}

// overloaded reports whether demand has been above the rate for some time.
func (bucket *Bucket) overloaded(now time.Duration) bool {
	rate := bucket.limit.Rate * bucket.heard
	if rate <= 0 {
		return true // no demand is within this rate
	}
	after := time.Duration(overloadTokens / rate * float64(time.Second))
	return now-bucket.lastSurplusAt > max(after, minOverloadTime)
}

// wait returns the time until a token is available.
func (bucket *Bucket) wait() time.Duration {
	if bucket.usable() >= 1 {
		return 0
	}
	rate := bucket.limit.Rate * bucket.heard
	if rate <= 0 {
		return maxReportedWait
	}
	return min(time.Duration((1-bucket.usable())/rate*float64(time.Second)), maxReportedWait)
}

// maxReportedWait caps the wait that Reserve returns. At a rate of zero it returns
// this value.
const maxReportedWait = 10 * time.Second

// Debit deducts tokens that other VMs of the group took. The level may become
// negative, down to minus the burst. It ignores what is no number above 0.
func (bucket *Bucket) Debit(tokens float64, now time.Duration) {
	bucket.advance(now)
	if tokens > 0 {
		bucket.level = max(bucket.level-tokens, -bucket.burst())
	}
}

// Add adds tokens up to the burst. It ignores what is no number above 0.
func (bucket *Bucket) Add(tokens float64, now time.Duration) {
	bucket.advance(now)
	if tokens > 0 {
		bucket.level = min(bucket.level+tokens, bucket.burst())
	}
}

// burst returns this VM's share of the burst.
func (bucket *Bucket) burst() float64 { return bucket.limit.Burst * bucket.share }

// advance refills the bucket up to now.
func (bucket *Bucket) advance(now time.Duration) {
	if elapsed := now - bucket.updated; elapsed > 0 {
		refill := bucket.limit.Rate * elapsed.Seconds()
		unheard := bucket.share - bucket.heard
		bucket.level = min(bucket.burst(), bucket.level+refill*bucket.share)
		bucket.withheld = min(bucket.limit.Burst*unheard, bucket.withheld+refill*unheard)
		bucket.updated = now
		if bucket.usable() >= min(surplusLevel, surplusShare*bucket.limit.Burst*bucket.heard) {
			bucket.lastSurplusAt = now
		}
	}
}
