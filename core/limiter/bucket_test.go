package limiter_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/core/limiter"
)

func TestBucketStartsEmptyAndRefills(t *testing.T) {
	is := is.New(t)
	bucket := limiter.Bucket{Rate: 2, Burst: 3}
	is.True(!bucket.Take(time.Second, 1))
	is.Equal(bucket.TimeUntil(time.Second, 1), 500*time.Millisecond)
	is.True(bucket.Take(1500*time.Millisecond, 1))
	is.True(!bucket.Take(time.Second, 1)) // the clock ran backwards
	for range 3 {
		is.True(bucket.Take(time.Hour, 1))
	}
	is.True(!bucket.Take(time.Hour, 1))
}
