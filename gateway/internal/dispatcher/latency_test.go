package dispatcher

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// A VM that has seen few uploads must tell a failure right after the transfer from one after
// the work.
func TestFailureBeforeTheWorkIsQuickAfterOneAnswer(t *testing.T) {
	is := is.New(t)
	var latencies latencies
	latencies.observe("s", 270*time.Millisecond)
	is.True(latencies.isQuick("s", 100*time.Millisecond))
	is.True(!latencies.isQuick("s", 200*time.Millisecond))
	for range 20 {
		latencies.observe("s", 270*time.Millisecond)
	}
	is.True(latencies.isQuick("s", 100*time.Millisecond))
}
