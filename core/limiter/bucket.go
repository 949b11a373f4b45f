package limiter

import "time"

// Bucket is a token bucket. A new one is empty. It isn't safe for concurrent
// use.
type Bucket struct {
	// Rate is in tokens a second.
	Rate float64
	// Burst is the capacity in tokens.
	Burst float64

	tokens   float64
	filledAt time.Duration
}

// Refill adds the tokens that have accrued since the last call. If the clock ran
// backwards, it adds none.
func (bucket *Bucket) Refill(now time.Duration) {
	if now <= bucket.filledAt {
		return
	}
	if bucket.filledAt > 0 {
		bucket.tokens += bucket.Rate * (now - bucket.filledAt).Seconds()
	}
	bucket.tokens = min(bucket.tokens, bucket.Burst)
	bucket.filledAt = now
}

// Resize sets the rate and the burst from now on. It removes tokens above the new
// burst and returns their number.
func (bucket *Bucket) Resize(now time.Duration, rate, burst float64) (excess float64) {
	bucket.Refill(now)
	bucket.Rate = rate
	bucket.Burst = burst
	excess = max(0, bucket.tokens-burst)
	bucket.tokens -= excess
	return excess
}

// Add adds n tokens, up to the burst.
func (bucket *Bucket) Add(n float64) {
	bucket.tokens = min(bucket.tokens+n, bucket.Burst)
}

// Tokens returns the number of tokens as of the last call. It is negative while
// the bucket is in debt.
func (bucket *Bucket) Tokens() float64 { return bucket.tokens }

// Take removes n tokens and reports true, or removes none if there are fewer.
func (bucket *Bucket) Take(now time.Duration, n float64) bool {
	bucket.Refill(now)
	if bucket.tokens < n {
		return false
	}
	bucket.tokens -= n
	return true
}

// Debit removes n tokens even if there are fewer. Tokens that accrue later pay off
// the debt.
func (bucket *Bucket) Debit(now time.Duration, n float64) {
	bucket.Refill(now)
	bucket.tokens -= n
}

// TimeUntil returns how long it takes until the bucket holds n tokens. It is zero
// if the bucket holds them now, and also if its rate is zero.
func (bucket *Bucket) TimeUntil(now time.Duration, n float64) time.Duration {
	bucket.Refill(now)
	if bucket.tokens >= n || bucket.Rate <= 0 {
		return 0
	}
	return time.Duration((n - bucket.tokens) / bucket.Rate * float64(time.Second))
}
