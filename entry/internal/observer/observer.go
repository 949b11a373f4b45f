// Package observer counts what became of requests: as metrics of the VM, and
// for the burn report.
//
// Metrics have a label for the service only, and for at most maxServices of
// them; organisations are in the burn report, whose counters are bounded too.
//
// # Usage
//
//	observer := &observer.Observer{Set: set, Counter: persister}
//	observer.Observe(observer.Observation{Service: service, Status: 200, Outcome: observer.Answered, Latency: latency})
package observer

import (
	"fmt"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"godwitramp.example/core/burner"
	"godwitramp.example/core/configurator"
)

// Outcome says what became of a request.
type Outcome string

// The outcomes of requests.
const (
	// Answered means that the caller got the whole answer of an upstream.
	Answered Outcome = "answered"
	// NotRun means that the system refused, and no upstream ran the request.
	NotRun Outcome = "not-run"
	// Unknown means that the request may have run, and the caller was told so.
	Unknown Outcome = "unknown"
	// Truncated means that the answer ended before it was whole.
	Truncated Outcome = "broken"
	// Abandoned means that the caller went away first.
	Abandoned Outcome = "abandoned"
)

// Observation is one request after its end.
type Observation struct {
	// Service is nil if no route was found.
	Service *configurator.ServiceTargets
	// Organisation is nil on open routes and if no key was accepted.
	Organisation *configurator.Organisation
	Status       int
	Outcome      Outcome
	// Latency is the time from the request's arrival to the end of its answer.
	Latency time.Duration
	// Reason says why the request was not admitted; empty if it was.
	Reason string
	// Attempts is how often the request was sent to an upstream.
	Attempts int
}

// Counter counts answers for the burn report.
type Counter interface {
	Count(pair burner.Pair, good bool)
}

const (
	// maxServices bounds the services with a label of their own.
	maxServices = 256
	// otherServices labels the rest, and noService requests without a route.
	otherServices = "other"
	noService     = "none"
	firstFailure  = 500
	statusClasses = 6
)

// Observer counts requests. It is safe for concurrent use.
type Observer struct {
	Set *metrics.Set
	// Counter may be nil.
	Counter Counter

	mutex    sync.RWMutex
	services map[string]*serviceMetrics
}

// Observe counts one request.
func (observer *Observer) Observe(observation Observation) {
	name := noService
	if observation.Service != nil {
		name = string(observation.Service.Path)
	}
	counted := observer.service(name)
	counted.requests(observation.Status, observation.Outcome).Inc()
	counted.duration.Update(observation.Latency.Seconds())
	if observation.Reason != "" {
		observer.Set.GetOrCreateCounter(fmt.Sprintf("godwitramp_refusals_total{reason=%q}", observation.Reason)).Inc()
	}
	if observation.Attempts > 1 {
		counted.retries.Add(observation.Attempts - 1)
	}
	observer.burn(observation)
}

// burn counts the request for the burn report unless it says nothing about
// the service: refusals that the caller earned, and callers that went away.
func (observer *Observer) burn(observation Observation) {
	refused := observation.Outcome == NotRun && observation.Status < firstFailure
	if observer.Counter == nil || observation.Service == nil || refused || observation.Outcome == Abandoned {
		return
	}
	pair := burner.Pair{Service: string(observation.Service.Path)}
	if observation.Organisation != nil {
		pair.Organisation = string(observation.Organisation.Path)
	}
	good := observation.Outcome == Answered && observation.Status < firstFailure &&
		observation.Latency <= observation.Service.ObjectiveLatency
	observer.Counter.Count(pair, good)
}

func (observer *Observer) service(name string) *serviceMetrics {
	observer.mutex.RLock()
	known := observer.services[name]
	observer.mutex.RUnlock()
	if known != nil {
		return known
	}
	observer.mutex.Lock()
	defer observer.mutex.Unlock()
	if observer.services == nil {
		observer.services = map[string]*serviceMetrics{
			otherServices: newServiceMetrics(observer.Set, otherServices), noService: newServiceMetrics(observer.Set, noService),
		}
	}
	if known := observer.services[name]; known != nil {
		return known
	}
	if len(observer.services) >= maxServices+2 {
		return observer.services[otherServices]
	}
	observer.services[name] = newServiceMetrics(observer.Set, name)
	return observer.services[name]
}

// serviceMetrics are the metrics of one service.
type serviceMetrics struct {
	set      *metrics.Set
	name     string
	duration *metrics.Histogram
	retries  *metrics.Counter
	counters sync.Map // from result to *metrics.Counter
}

// result is one combination of labels.
type result struct {
	class   int
	outcome Outcome
}

func newServiceMetrics(set *metrics.Set, name string) *serviceMetrics {
	return &serviceMetrics{
		set: set, name: name,
		duration: set.NewHistogram(fmt.Sprintf("godwitramp_request_duration_seconds{service=%q}", name)),
		retries:  set.NewCounter(fmt.Sprintf("godwitramp_retries_total{service=%q}", name)),
	}
}

func (service *serviceMetrics) requests(status int, outcome Outcome) *metrics.Counter {
	result := result{class: min(max(0, status/100), statusClasses-1), outcome: outcome}
	if known, ok := service.counters.Load(result); ok {
		return known.(*metrics.Counter)
	}
	counter := service.set.GetOrCreateCounter(fmt.Sprintf(
		"godwitramp_requests_total{service=%q,class=\"%dxx\",outcome=%q}", service.name, result.class, outcome))
	service.counters.Store(result, counter)
	return counter
}
