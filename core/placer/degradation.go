package placer

import (
	"math"
	"time"
)

const (
	// decayTime is the time constant with which counted requests decay.
	decayTime = 3 * time.Second
	// degradedFailureShare is the share of failed requests from which a service
	// counts as degraded and its idle targets are tried. All healthy targets must be
	// in use from a share of a tenth; the threshold is lower because a VM sees only
	// a part of the requests, and none of those that a stopped VM lost.
	degradedFailureShare = 0.06
	// degradedMinFailures is the minimum weight of failed requests, so that a single
	// failure doesn't make a service degraded.
	degradedMinFailures = 1.6
	// maxIdle is how long a target of a degraded service stays without a request, so
	// that all healthy targets are in use within two seconds.
	maxIdle = 1500 * time.Millisecond
	// maxTrialSuspicion excludes targets that failed less than four seconds ago,
	// most of which still fail.
	maxTrialSuspicion = 0.52
)

// failureRate counts the served and failed requests of a service with exponentially
// decaying weights.
type failureRate struct {
	served, failed float64
	updated        time.Duration
}

func (failureRate *failureRate) decay(now time.Duration) {
	if elapsed := now - failureRate.updated; elapsed > 0 {
		factor := math.Exp(-elapsed.Seconds() / decayTime.Seconds())
		failureRate.served *= factor
		failureRate.failed *= factor
		failureRate.updated = now
	}
}

func (failureRate *failureRate) add(served bool, now time.Duration) {
	failureRate.decay(now)
	if served {
		failureRate.served++
	} else {
		failureRate.failed++
	}
}

// degraded reports whether so many requests fail that targets with a high suspicion
// may be needed.
func (failureRate *failureRate) degraded(now time.Duration) bool {
	failureRate.decay(now)
	return failureRate.failed >= degradedMinFailures && failureRate.failed >= degradedFailureShare*(failureRate.served+failureRate.failed)
}

// RecordSuccess counts a request that was served by this VM or another of its data
// centre.
func (placer *Placer) RecordSuccess(service string, now time.Duration) {
	placer.failureRateOf(service).add(true, now)
}

// RecordFailure counts a request that was refused or failed.
func (placer *Placer) RecordFailure(service string, now time.Duration) {
	placer.failureRateOf(service).add(false, now)
}

func (placer *Placer) failureRateOf(service string) *failureRate {
	if placer.failureRates == nil {
		placer.failureRates = make(map[string]*failureRate)
	}
	known := placer.failureRates[service]
	if known == nil {
		known = &failureRate{}
		placer.failureRates[service] = known
	}
	return known
}

// dueForTrial reports whether an idle target should receive the next retryable
// request or, if its service is degraded, the next request of any kind. VMs try only
// the targets of their own data centre.
func (placer *Placer) dueForTrial(target *target, now time.Duration) bool {
	return target.DataCentre == placer.Locality.DataCentre && now-target.lastAttemptAt > maxIdle &&
		target.suspicion.at(now) < maxTrialSuspicion
}
