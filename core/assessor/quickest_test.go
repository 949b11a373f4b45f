package assessor_test

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"godwitramp.example/core/assessor"
)

// Uploads take 120 ms at least, 100 ms of that until they are transferred.
func TestFailureRightAfterTheTransferIsTooQuick(t *testing.T) {
	is := is.New(t)
	var quickest assessor.Quickest
	is.True(!quickest.TooQuick(0))
	quickest.Observe(270 * time.Millisecond)
	is.True(quickest.TooQuick(100 * time.Millisecond))
	is.True(!quickest.TooQuick(200 * time.Millisecond))
}

func TestOddQuickAnswerIsForgotten(t *testing.T) {
	is := is.New(t)
	var quickest assessor.Quickest
	quickest.Observe(time.Millisecond)
	is.True(!quickest.TooQuick(50 * time.Millisecond))
	for range 100 {
		quickest.Observe(200 * time.Millisecond)
	}
	is.True(quickest.TooQuick(50 * time.Millisecond))
}
