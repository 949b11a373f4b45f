package dispatcher

import (
	"sync"
	"time"

	"godwitramp.example/core/retrier"
)

// latencies knows how long the answers of each service usually take.
type latencies struct {
	mutex     sync.Mutex
	byService map[string]*retrier.Estimator
}

func (latencies *latencies) observe(service string, latency time.Duration) {
	latencies.mutex.Lock()
	defer latencies.mutex.Unlock()
	if latencies.byService == nil {
		latencies.byService = make(map[string]*retrier.Estimator)
	}
	if latencies.byService[service] == nil {
		latencies.byService[service] = &retrier.Estimator{}
	}
	latencies.byService[service].Observe(latency)
}

// hedgeDelay returns how long to wait for an answer before the request is sent to
// another target too, at most longest.
func (latencies *latencies) hedgeDelay(service string, maxDelay time.Duration) time.Duration {
	latencies.mutex.Lock()
	defer latencies.mutex.Unlock()
	if estimator := latencies.byService[service]; estimator != nil {
		return estimator.HedgeDelay(maxDelay)
	}
	return maxDelay
}

const (
	// quickFraction of the usual latency is what hardly any answer takes that comes
	// after work.
	quickFraction = 1.0 / 8
	// defaultQuickLatency holds while the usual latency isn't known: the way to a
	// target in another region and back, without work.
	defaultQuickLatency = 25 * time.Millisecond
)

// isQuick reports whether an answer came far sooner than is usual.
func (latencies *latencies) isQuick(service string, latency time.Duration) bool {
	latencies.mutex.Lock()
	defer latencies.mutex.Unlock()
	if estimator := latencies.byService[service]; estimator != nil && estimator.MeanLatency() > 0 {
		return latency < time.Duration(quickFraction*float64(estimator.MeanLatency()))
	}
	return latency < defaultQuickLatency
}
