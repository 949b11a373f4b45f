package placer

import (
	"math"
	"time"
)

const (
	// decayTime is the time constant with which counted requests decay.
	decayTime = 3 * time.Second
	// degradedFailureShare is the share of failed requests from which a service
	// counts as degraded. Operators ask for less than a tenth; the threshold is lower because
	// a VM sees only a part of the requests, and none of those that a stopped VM lost.
	degradedFailureShare = 0.06
	// degradedMinFailures is the minimum weight of failed requests of the VM's group, so that
	// a single failure doesn't make a service degraded. A group that sees less than
	// minTellingShare of the fleet's requests has two failures at once by chance often, and
	// needs more.
	degradedMinFailures      = 1.6
	degradedMinFailuresSmall = 3.5
	minTellingShare          = 0.1
	// degradedMinFleetFailures is the same over the fleet.
	degradedMinFleetFailures = 3
	// loadTime is the time constant over which a group's load is averaged. A group gets few
	// requests in a shorter time.
	loadTime = 10 * time.Second
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

func (failureRate *failureRate) add(served, failed float64, now time.Duration) {
	failureRate.decay(now)
	failureRate.served += served
	failureRate.failed += failed
}

// degraded reports whether too many requests fail.
func (failureRate *failureRate) degraded(minFailures float64, now time.Duration) bool {
	failureRate.decay(now)
	return failureRate.failed >= minFailures && failureRate.failed >= degradedFailureShare*(failureRate.served+failureRate.failed)
}

// frequency counts events with exponentially decaying weights.
type frequency struct {
	// constant is the time constant of the decay. It is set by the first add.
	constant       time.Duration
	weight         float64
	since, updated time.Duration
}

func (frequency *frequency) add(events float64, constant, now time.Duration) {
	if frequency.constant == 0 {
		frequency.constant, frequency.since, frequency.updated = constant, now, now
	}
	frequency.weight = frequency.weightAt(now) + events
	frequency.updated = max(now, frequency.updated)
}

func (frequency *frequency) weightAt(now time.Duration) float64 {
	if frequency.constant == 0 {
		return 0
	}
	return frequency.weight * math.Exp(-max(0, now-frequency.updated).Seconds()/frequency.constant.Seconds())
}

// minObserved is the shortest time over which events are averaged.
const minObserved = 250 * time.Millisecond

// perSecond returns the average over the time constant, or since the first event if that is
// less.
func (frequency *frequency) perSecond(now time.Duration) float64 {
	if frequency.constant == 0 {
		return 0
	}
	constant := frequency.constant.Seconds()
	observed := max(now-frequency.since, minObserved).Seconds()
	return frequency.weightAt(now) / (constant * (1 - math.Exp(-observed/constant)))
}

// failureRates are the failure rates of a service: that of the VM's group, and that of the
// fleet, which shows losses while the group has seen few requests.
type failureRates struct {
	group failureRate
	// load are the requests of the group.
	load frequency
	// fleetFailed are the failed requests of the fleet, and fleetShares the same, each
	// divided by the requests a second of its group. Their sum over a second is the sum of
	// the groups' failure rates, however unevenly the load is spread.
	fleetFailed, fleetShares frequency
}

func (failureRates *failureRates) addFleetFailure(load float64, now time.Duration) {
	if !(load > 0) {
		load = failureRates.load.perSecond(now) // a VM of an earlier version doesn't say
	}
	failureRates.fleetFailed.add(1, decayTime, now)
	failureRates.fleetShares.add(1/max(load, minLoad), decayTime, now)
}

// minLoad is the least load of a group, in requests a second, that is divided by.
const minLoad = 0.1

// degraded reports whether the group or the fleet loses too many requests. Share is the
// group's share of the fleet.
func (failureRates *failureRates) degraded(share float64, now time.Duration) bool {
	minFailures := degradedMinFailures
	if share < minTellingShare {
		minFailures = degradedMinFailuresSmall
	}
	if failureRates.group.degraded(minFailures, now) {
		return true
	}
	return failureRates.fleetFailed.weightAt(now) >= degradedMinFleetFailures &&
		failureRates.fleetShares.perSecond(now)*share >= degradedFailureShare
}

// Degraded reports whether the service loses too many requests, for logs.
func (placer *Placer) Degraded(service string, now time.Duration) bool {
	return placer.failureRatesOf(service).degraded(placer.fleetShare(), now)
}

// Load returns the requests of a service that the VM's group ends a second.
func (placer *Placer) Load(service string, now time.Duration) float64 {
	return placer.failureRatesOf(service).load.perSecond(now)
}

// RecordSuccess counts a request that was served by this VM or another of its group.
func (placer *Placer) RecordSuccess(service string, now time.Duration) {
	known := placer.failureRatesOf(service)
	known.group.add(1, 0, now)
	known.load.add(1, loadTime, now)
}

// fleetShare returns FleetShare, or 1 if it isn't set.
func (placer *Placer) fleetShare() float64 {
	if placer.FleetShare <= 0 {
		return 1
	}
	return placer.FleetShare
}

// RecordFailure counts a request that was refused or failed by this VM or another of its
// group.
func (placer *Placer) RecordFailure(service string, now time.Duration) {
	known := placer.failureRatesOf(service)
	known.group.add(0, 1, now)
	known.load.add(1, loadTime, now)
	known.addFleetFailure(0, now)
}

// RecordFleetFailure counts a request that failed outside the VM's group. Load is that of
// the other group, or 0 if it isn't known.
func (placer *Placer) RecordFleetFailure(service string, load float64, now time.Duration) {
	placer.failureRatesOf(service).addFleetFailure(load, now)
}

func (placer *Placer) failureRatesOf(service string) *failureRates {
	if placer.failureRates == nil {
		placer.failureRates = make(map[string]*failureRates)
	}
	known := placer.failureRates[service]
	if known == nil {
		known = &failureRates{}
		placer.failureRates[service] = known
	}
	return known
}
