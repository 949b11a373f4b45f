package limiter

import "time"

// Bucket is a token bucket. A new one is empty.
type Bucket struct {
	// Rate is in tokens a second.
	Rate float64
	// Burst is the most tokens that the bucket holds.
	Burst float64

	tokens   float64
	filledAt time.Duration
}

// Refill mints the tokens of the time since the last call. Time that runs
// backwards mints nothing.
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

// Resize changes the rate and the burst from now on. Tokens above the new
// burst leave the bucket; their number is returned.
func (bucket *Bucket) Resize(now time.Duration, rate, burst float64) (excess float64) {
	bucket.Refill(now)
	bucket.Rate = rate
	bucket.Burst = burst
	excess = max(0, bucket.tokens-burst)
	bucket.tokens -= excess
	return excess
}

// Add puts n tokens into the bucket, as far as there is room.
func (bucket *Bucket) Add(n float64) {
	bucket.tokens = min(bucket.tokens+n, bucket.Burst)
}

// Tokens returns the tokens in the bucket at the last call, below zero for a
// debt.
func (bucket *Bucket) Tokens() float64 { return bucket.tokens }

// Take removes n tokens if there are as many.
func (bucket *Bucket) Take(now time.Duration, n float64) bool {
	bucket.Refill(now)
	if bucket.tokens < n {
		return false
	}
	bucket.tokens -= n
	return true
}

// Charge removes n tokens even if there are fewer. Later tokens pay the debt.
func (bucket *Bucket) Charge(now time.Duration, n float64) {
	bucket.Refill(now)
	bucket.tokens -= n
}

// TimeUntil returns how long it takes until the bucket holds n tokens.
func (bucket *Bucket) TimeUntil(now time.Duration, n float64) time.Duration {
	bucket.Refill(now)
	if bucket.tokens >= n || bucket.Rate <= 0 {
		return 0
	}
	return time.Duration((n - bucket.tokens) / bucket.Rate * float64(time.Second))
}
