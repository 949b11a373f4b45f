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
		return estimator.Delay(longest)
	}
	return longest
}
