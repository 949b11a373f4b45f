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

// delay returns how long to wait for an answer before the request is sent to
// another target too, at most longest.
func (latencies *latencies) delay(service string, longest time.Duration) time.Duration {
	latencies.mutex.Lock()
	defer latencies.mutex.Unlock()
	if estimator := latencies.byService[service]; estimator != nil {
		return estimator.HedgeDelay(longest)
	}
	return longest
}

const (
	// quickPart of the usual latency is what hardly any answer takes that comes
	// after work.
	quickPart = 1.0 / 8
	// quickDefault holds while the usual latency isn't known: the way to a
	// target in another region and back, without work.
	quickDefault = 25 * time.Millisecond
)

// quick reports whether an answer came far sooner than is usual.
func (latencies *latencies) quick(service string, latency time.Duration) bool {
	latencies.mutex.Lock()
	defer latencies.mutex.Unlock()
	if estimator := latencies.byService[service]; estimator != nil && estimator.MeanLatency() > 0 {
		return latency < time.Duration(quickPart*float64(estimator.MeanLatency()))
	}
	return latency < quickDefault
}
