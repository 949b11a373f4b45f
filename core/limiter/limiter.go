// Package limiter decides which requests are inside their organisation's rate
// and burst.
//
// # Usage
//
//	bucket := limiter.Bucket{Rate: 50, Burst: 100}
//	if !bucket.Take(now, 1) {
//		wait := bucket.Wait(now, 1)
//	}
package limiter

import "time"

// Bucket is a token bucket. A new one is empty.
type Bucket struct {
	// Rate is in tokens a second.
	Rate float64
	// Burst is the most tokens that the bucket holds.
	Burst float64

	tokens float64
	filled time.Duration
}

// Fill mints the tokens of the time since the last call. Time that runs
// backwards mints nothing.
func (bucket *Bucket) Fill(now time.Duration) {
	if now <= bucket.filled {
		return
	}
	if bucket.filled > 0 {
		bucket.tokens += bucket.Rate * (now - bucket.filled).Seconds()
	}
	bucket.tokens = min(bucket.tokens, bucket.Burst)
	bucket.filled = now
}

// Take removes n tokens if there are as many.
func (bucket *Bucket) Take(now time.Duration, n float64) bool {
	bucket.Fill(now)
	if bucket.tokens < n {
		return false
	}
	bucket.tokens -= n
	return true
}

// Wait returns how long it takes until the bucket holds n tokens.
func (bucket *Bucket) Wait(now time.Duration, n float64) time.Duration {
	bucket.Fill(now)
	if bucket.tokens >= n || bucket.Rate <= 0 {
		return 0
	}
	return time.Duration((n - bucket.tokens) / bucket.Rate * float64(time.Second))
}
