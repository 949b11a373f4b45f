// Package throttler holds organisations to their rates, and retries to their
// budgets, over VMs that tell each other what they spend.
//
// The fleet's rate is divided evenly between data centres, and in each of them
// between groups of VMs. The VMs of a group spend from one bucket: each keeps a
// copy and tells the others of every token that it takes. A VM that doesn't
// hear some of its group may spend only the part of those that it hears, so
// that two halves of a divided group never spend more than the whole.
//
// # Usage
//
//	bucket := &throttler.Bucket{}
//	bucket.Set(throttler.Limit{Rate: 40, Burst: 50}, now)
//	bucket.SetPart(heard/members, now)
//	wait, ok := bucket.Reserve(patience, now)
//	if !ok {
//		// Refuse; a token is there after the wait.
//	}
//	// Send the request after the wait.
//	bucket.Spent(1, now) // another VM of the group took one
package throttler

import "time"

// Limit is the size of a bucket.
type Limit struct {
	// Rate is in tokens a second.
	Rate float64
	// Burst is in tokens.
	Burst float64
}

// startLevel is the part of a full bucket that a VM begins with. Its group may
// have spent the rest right before it started.
const startLevel = 0.2

// Bucket is a VM's copy of its group's tokens. The zero value is empty and has
// no limit set. It isn't safe for concurrent use.
type Bucket struct {
	limit Limit
	// part is the share of the limit that this VM may use.
	part    float64
	level   float64
	updated time.Duration
	set     bool
	// calmAt is when the bucket last had more than the next request needs.
	calmAt time.Duration
}

const (
	// spareLevel is the level from which on a bucket has more than the next request
	// needs: a token that nobody took for half the time in which one comes.
	spareLevel = 1.5
	// pressedTokens is in how many tokens' time a bucket that never had any to spare
	// is taken to be pressed. An organisation that asks for more than its rate would
	// keep all its requests waiting and have no more of them served.
	pressedTokens = 4
	// pressedAfter is the least time for that, so that a few requests that come
	// together don't count.
	pressedAfter = time.Second
)

// Set changes the limit of the group.
func (bucket *Bucket) Set(limit Limit, now time.Duration) {
	if !bucket.set {
		bucket.set = true
		bucket.part = 1
		bucket.updated, bucket.calmAt = now, now
		bucket.limit = limit
		bucket.level = startLevel * limit.Burst
		return
	}
	bucket.advance(now)
	bucket.limit = limit
	bucket.level = min(bucket.level, bucket.burst())
}

// SetPart changes the share of the limit that this VM may use, from 0 to 1.
func (bucket *Bucket) SetPart(part float64, now time.Duration) {
	bucket.advance(now)
	if part < bucket.part && bucket.level > 0 {
		bucket.level *= part / bucket.part // the rest is for the VMs that are not heard
	}
	bucket.part = part
	bucket.level = min(bucket.level, bucket.burst())
}

// Begin puts as much into the bucket as a VM starts with. It is for a VM that has
// just found the others of its group; before, it could not tell them what it took.
func (bucket *Bucket) Begin(now time.Duration) {
	bucket.advance(now)
	bucket.level = startLevel * bucket.burst()
}

// Take takes a token. If there is none, it returns how long it takes until
// there may be one.
func (bucket *Bucket) Take(now time.Duration) (time.Duration, bool) { return bucket.Reserve(0, now) }

// Reserve takes a token that is there or comes within the patience, and returns
// how long the request has to wait for it. Reservations are served in their order,
// and all later ones wait behind them. If no token comes in time, or the
// organisation presses, it takes none and returns how long it takes until there may
// be one.
func (bucket *Bucket) Reserve(patience, now time.Duration) (time.Duration, bool) {
	bucket.advance(now)
	wait := bucket.wait()
	if wait > patience || wait > 0 && bucket.pressed(now) {
		return wait, false
	}
	bucket.level--
	return wait, true
}

// pressed reports whether more is asked for than the bucket gives.
func (bucket *Bucket) pressed(now time.Duration) bool {
	rate := bucket.limit.Rate * bucket.part
	after := time.Duration(pressedTokens / rate * float64(time.Second))
	return now-bucket.calmAt > max(after, pressedAfter)
}

// wait returns how long it takes until there is a token.
func (bucket *Bucket) wait() time.Duration {
	if bucket.level >= 1 {
		return 0
	}
	rate := bucket.limit.Rate * bucket.part
	if rate <= 0 {
		return longestWait
	}
	return min(time.Duration((1-bucket.level)/rate*float64(time.Second)), longestWait)
}

// longestWait is what Reserve returns when no token is in sight.
const longestWait = 10 * time.Second

// Spent takes note of tokens that others of the group took.
func (bucket *Bucket) Spent(tokens float64, now time.Duration) {
	bucket.advance(now)
	bucket.level = max(bucket.level-tokens, -bucket.burst())
}

// Add puts tokens into the bucket.
func (bucket *Bucket) Add(tokens float64, now time.Duration) {
	bucket.advance(now)
	bucket.level = min(bucket.level+tokens, bucket.burst())
}

// burst is at least one token, without which the bucket would never give any,
// unless the group is divided: many VMs that each hear nobody would save up more
// than the group has.
func (bucket *Bucket) burst() float64 {
	if bucket.part < 1 {
		return bucket.limit.Burst * bucket.part
	}
	return max(1, bucket.limit.Burst)
}

func (bucket *Bucket) advance(now time.Duration) {
	if passed := now - bucket.updated; passed > 0 {
		bucket.level = min(bucket.burst(), bucket.level+bucket.limit.Rate*bucket.part*passed.Seconds())
		bucket.updated = now
		if bucket.level >= min(spareLevel, (1+bucket.burst())/2) {
			bucket.calmAt = now
		}
	}
}
