package placer

import (
	"math"
	"time"
)

const (
	// strainMemory is the time over which requests are counted.
	decayTime = 3 * time.Second
	// strainedShare is the part of a service's requests that aren't served from
	// which idle targets are tried. The floor of used targets is promised from a
	// tenth on; VMs see only a part of the requests, and none of those that a VM
	// which stopped has lost.
	degradedFailureShare = 0.06
	// strainedRequests is the least number of requests that aren't served, so
	// that one failure is no strain.
	degradedMinFailures = 1.6
	// longestIdle is how long a target of a strained service stays without a
	// request, so that all that are well are in use within two seconds.
	maxIdle = 1500 * time.Millisecond
	// maxSuspicionOfTrial leaves out targets that failed less than four seconds
	// ago, most of which still fail.
	maxTrialSuspicion = 0.52
)

// strain counts the requests of a service that were served and those that were
// not, with weights that fade.
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

// strained reports whether so many requests aren't served that targets which
// are avoided may be needed.
func (failureRate *failureRate) degraded(now time.Duration) bool {
	failureRate.decay(now)
	return failureRate.failed >= degradedMinFailures && failureRate.failed >= degradedFailureShare*(failureRate.served+failureRate.failed)
}

// Served takes note of a request that was served, at this VM or another of its
// data centre.
func (placer *Placer) RecordSuccess(service string, now time.Duration) {
	placer.failureRateOf(service).add(true, now)
}

// Unserved takes note of a request that was refused or failed.
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

// wantsTrial reports whether an idle target should get the next request that can
// be sent again, or the next one at all if its service is strained. The VMs of
// each data centre try the targets of their own.
func (placer *Placer) dueForTrial(target *target, now time.Duration) bool {
	return target.DataCentre == placer.Locality.DataCentre && now-target.lastAttemptAt > maxIdle &&
		target.suspicion.at(now) < maxTrialSuspicion
}
