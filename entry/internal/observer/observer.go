// Package observer counts the outcomes of requests, as metrics of the VM and for the
// burn report.
//
// To limit the number of time series, metrics are labelled by service only, and by at
// most maxServices of them. Counts by organisation are in the burn report, whose
// counters are limited too.
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

// Outcome says how a request ended.
type Outcome string

// The outcomes of requests.
const (
	// Answered means that the caller got a complete answer of an upstream.
	Answered Outcome = "answered"
	// NotRun means that the request was refused and no upstream ran it.
	NotRun Outcome = "not-run"
	// Unknown means that the request was refused but may have run.
	Unknown Outcome = "unknown"
	// Truncated means that the answer ended before it was complete.
	Truncated Outcome = "broken"
	// Abandoned means that the caller disconnected first.
	Abandoned Outcome = "abandoned"
)

// Observation describes a request that has ended.
type Observation struct {
	// Service is nil if no route was found.
	Service *configurator.ServiceTargets
	// Organisation is nil on open routes and if the key wasn't accepted.
	Organisation *configurator.Organisation
	Status       int
	Outcome      Outcome
	// Latency is the time from the arrival of the request to the end of its answer.
	Latency time.Duration
	// Reason says why the request wasn't admitted. It is empty if it was.
	Reason string
	// Attempts is the number of attempts to send the request to a target.
	Attempts int
}

// Counter counts requests for the burn report.
type Counter interface {
	Count(pair burner.Pair, good bool)
}

const (
	// maxServices limits the services with a label of their own.
	maxServices = 256
	// otherServices is the label of all further services, and noService that of
	// requests without a route.
	otherServices  = "other"
	noService      = "none"
	minServerError = 500
	statusClasses  = 6
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
	counts := observer.service(name)
	counts.requests(observation.Status, observation.Outcome).Inc()
	counts.duration.Update(observation.Latency.Seconds())
	if observation.Reason != "" {
		observer.Set.GetOrCreateCounter(fmt.Sprintf("godwitramp_refusals_total{reason=%q}", observation.Reason)).Inc()
	}
	if observation.Attempts > 1 {
		counts.retries.Add(observation.Attempts - 1)
	}
	observer.countForBurnReport(observation)
}

// countForBurnReport counts the request for the burn report. It skips requests that say
// nothing about the service: those refused with a status below 500 for a fault of the
// caller's, and those whose caller disconnected.
func (observer *Observer) countForBurnReport(observation Observation) {
	refused := observation.Outcome == NotRun && observation.Status < minServerError
	if observer.Counter == nil || observation.Service == nil || refused || observation.Outcome == Abandoned {
		return
	}
	pair := burner.Pair{Service: string(observation.Service.Path)}
	if observation.Organisation != nil {
		pair.Organisation = string(observation.Organisation.Path)
	}
	good := observation.Outcome == Answered && observation.Status < minServerError &&
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
	counters sync.Map // from requestLabels to *metrics.Counter
}

// requestLabels is one combination of labels of godwitramp_requests_total.
type requestLabels struct {
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
	requestLabels := requestLabels{class: min(max(0, status/100), statusClasses-1), outcome: outcome}
	if known, ok := service.counters.Load(requestLabels); ok {
		return known.(*metrics.Counter)
	}
	counter := service.set.GetOrCreateCounter(fmt.Sprintf(
		"godwitramp_requests_total{service=%q,class=\"%dxx\",outcome=%q}", service.name, requestLabels.class, outcome))
	service.counters.Store(requestLabels, counter)
	return counter
}
