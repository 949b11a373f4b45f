package dispatcher

import (
	"math"
	"sync"
	"time"

	"godwitramp.example/core/assessor"
	"godwitramp.example/core/retrier"
)

// latencies estimates the latency of good answers per service. It is safe for concurrent
// use.
type latencies struct {
	mutex     sync.Mutex
	byService map[string]*retrier.Estimator
	// quickest are the latencies of the quickest good answers of each service.
	quickest map[string]*assessor.Quickest
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
	if latencies.quickest == nil {
		latencies.quickest = make(map[string]*assessor.Quickest)
	}
	if latencies.quickest[service] == nil {
		latencies.quickest[service] = &assessor.Quickest{}
	}
	latencies.quickest[service].Observe(latency)
}

// hedgeDelay returns how long to wait for an answer before a hedged request is sent, at
// most maxDelay. It is maxDelay while the service has no estimate.
func (latencies *latencies) hedgeDelay(service string, maxDelay time.Duration) time.Duration {
	latencies.mutex.Lock()
	defer latencies.mutex.Unlock()
	if estimator := latencies.byService[service]; estimator != nil {
		return estimator.HedgeDelay(maxDelay)
	}
	return maxDelay
}

// usual returns the time within which the service's answers nearly always come, 0 while that
// isn't known.
func (latencies *latencies) usual(service string) time.Duration {
	latencies.mutex.Lock()
	defer latencies.mutex.Unlock()
	if estimator := latencies.byService[service]; estimator != nil && estimator.MeanLatency() > 0 {
		return estimator.HedgeDelay(math.MaxInt64)
	}
	return 0
}

const (
	// quickFraction is the fraction of the mean latency below which an answer is quick:
	// hardly any answer comes sooner if the target did the work.
	quickFraction = 1.0 / 8
	// defaultQuickLatency applies while the mean latency is unknown. It is the round
	// trip to a target in another region, without work.
	defaultQuickLatency = 25 * time.Millisecond
)

// isQuick reports whether an answer came far sooner than the service's answers usually do.
func (latencies *latencies) isQuick(service string, latency time.Duration) bool {
	latencies.mutex.Lock()
	defer latencies.mutex.Unlock()
	if quickest := latencies.quickest[service]; quickest != nil && quickest.TooQuick(latency) {
		return true
	}
	if estimator := latencies.byService[service]; estimator != nil && estimator.MeanLatency() > 0 {
		return latency < time.Duration(quickFraction*float64(estimator.MeanLatency()))
	}
	return latency < defaultQuickLatency
}
