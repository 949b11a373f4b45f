// Package placer picks the target that an attempt is sent to, at low rates of
// requests before targets with few slots that fail in part.
//
// Each target has a suspicion, the probability that it is ill, which the
// outcomes of attempts move: those of this VM, and those that other VMs tell. An
// attempt goes where it costs least: the suspicion weighs what a failure would
// lose, which is more for a request that can't be sent again; the attempts in
// progress weigh the wait for a slot; and the way to the target has a price.
//
// # Usage
//
//	placer := &placer.Placer{Place: place, Regions: regions}
//	placer.Replace(targets, now)
//	target, ok := placer.Pick(placer.Ask{Service: service, Now: now}, random)
//	placer.Done(target, placer.Good, now)
package placer

import (
	"math/rand/v2"
	"slices"
	"time"
)

// Place is where a VM stands.
type Locality struct {
	Region     string
	DataCentre string
}

// Placer knows the targets. It isn't safe for concurrent use. Fields are set
// before the first call.
type Placer struct {
	Locality Locality
	// Regions tells the region of each data centre.
	Regions map[string]string

	byID         map[string]*target
	byService    map[string][]*target
	failureRates map[string]*failureRate
	// leaving are the targets that said in an answer that they leave.
	leaving map[instance]bool
}

// The costs of an attempt, as parts of what a request is worth that can't be
// sent again.
const (
	// retryableFailureCost is what the failure of a request that may be sent again
	// costs: the time of a second attempt.
	retryableFailureCost = 0.3
	// crossDataCentreCost and costBetweenRegions are the price of the bytes
	// of a request and its answer.
	crossDataCentreCost = 0.08
	crossRegionCost     = 0.25
	// loadCost is what a target costs whose slots are all taken but one.
	loadCost = 0.05
	// queueCost is what each further request before it costs, as a part of
	// the slots.
	queueCost = 0.8
	// warmupCost is what a target costs that has just started and is slow.
	warmupCost = 0.04
	// trialBonus is what an attempt gains that finds out whether an idle target
	// is well. It goes before all costs.
	trialBonus = 2
	// jitter spreads the VMs over targets that cost the same.
	jitter = 0.02
)

// maxRetrySuspicion is the suspicion above which a target isn't tried again for
// the same request: more likely than not, it would fail it again.
const maxRetrySuspicion = 0.5

// PickInfo says what a target is wanted for.
type PickInfo struct {
	Service string
	// Tried are targets that this request has been sent to already.
	Tried []string
	// RetryTried asks for one of those that were tried, in place of another.
	RetryTried bool
	// Retryable attempts may be followed by another after a failure.
	Retryable bool
	// Now is the time on any steady clock, the same for all calls.
	Now time.Duration
}

// Replace takes the targets in place of those known before. What is known of
// one that stays is kept.
func (placer *Placer) Replace(targets []Target, now time.Duration) {
	byID := make(map[string]*target, len(targets))
	byService := make(map[string][]*target)
	for _, declared := range targets {
		known := placer.byID[declared.ID]
		if known == nil || known.Incarnation != declared.Incarnation || known.Address != declared.Address {
			known = &target{suspicion: suspicion{probability: initialSuspicion, updated: now}, warmUntil: now + declared.Warmup, lastAttemptAt: now}
		}
		known.Target = declared
		known.announcedLeaving = placer.leaving[instance{id: declared.ID, incarnation: declared.Incarnation}]
		byID[declared.ID] = known
		byService[declared.Service] = append(byService[declared.Service], known)
	}
	placer.byID = byID
	placer.byService = byService
}

// Pick returns the target for one attempt and counts the attempt as in progress
// until Done. It reports false if no target can take a request now.
func (placer *Placer) Pick(info PickInfo, random *rand.Rand) (Target, bool) {
	var best *target
	lowestCost := 0.0
	degraded := placer.failureRateOf(info.Service).degraded(info.Now)
	for _, candidate := range placer.byService[info.Service] {
		if candidate.isLeaving() || candidate.coolingDown(info.Now) || candidate.backoffUntil > info.Now || slices.Contains(info.Tried, candidate.ID) != info.RetryTried {
			continue
		}
		if info.RetryTried && candidate.suspicion.at(info.Now) > maxRetrySuspicion {
			continue
		}
		cost := placer.cost(candidate, info) + jitter*random.Float64()
		if (degraded || info.Retryable) && placer.dueForTrial(candidate, info.Now) {
			cost -= trialBonus
		}
		if best == nil || cost < lowestCost {
			best, lowestCost = candidate, cost
		}
	}
	if best == nil {
		return Target{}, false
	}
	best.ownInFlight++
	best.lastAttemptAt = info.Now
	return best.Target, true
}

func (placer *Placer) cost(target *target, info PickInfo) float64 {
	cost := target.suspicion.at(info.Now)
	if info.Retryable {
		cost *= retryableFailureCost
	}
	switch {
	case target.DataCentre == placer.Locality.DataCentre:
	case placer.Regions[target.DataCentre] == placer.Locality.Region:
		cost += crossDataCentreCost
	default:
		cost += crossRegionCost
	}
	slots := float64(max(1, target.Slots))
	inFlight := float64(target.inFlight(info.Now))
	cost += loadCost * min(1, inFlight/slots)
	if inFlight >= slots {
		cost += queueCost * (inFlight - slots + 1) / slots
	}
	if target.warmUntil > info.Now {
		cost += warmupCost
	}
	return cost + target.rampUpCost(info.Now)
}

// Usable reports whether the target may still get what was picked for it.
func (placer *Placer) Usable(picked Target, now time.Duration) bool {
	known := placer.byID[picked.ID]
	return known != nil && !known.isLeaving() && !known.coolingDown(now) && known.Address == picked.Address && known.Incarnation == picked.Incarnation
}

// Done takes note of the end of an attempt of this VM.
func (placer *Placer) Done(picked Target, outcome Outcome, now time.Duration) {
	known := placer.byID[picked.ID]
	if known == nil || known.Incarnation != picked.Incarnation {
		return
	}
	known.ownInFlight = max(0, known.ownInFlight-1)
	known.record(outcome, true, now)
}

// PeerStarted takes note of an attempt of another VM.
func (placer *Placer) PeerStarted(id string, now time.Duration) {
	if known := placer.byID[id]; known != nil {
		known.peerStarted(now)
	}
}

// PeerDone takes note of the end of an attempt of another VM whose beginning was
// told too.
func (placer *Placer) PeerDone(id string, outcome Outcome, now time.Duration) {
	if known := placer.byID[id]; known != nil {
		known.peerDone()
		known.record(outcome, false, now)
	}
}

// PeerOutcome takes the outcome of an attempt of a VM in that doesn't tell of the
// beginnings.
func (placer *Placer) PeerOutcome(id string, outcome Outcome, now time.Duration) {
	if known := placer.byID[id]; known != nil {
		known.record(outcome, false, now)
	}
}

// Suspicion returns the probability that the target is ill, for logs.
func (placer *Placer) Suspicion(id string, now time.Duration) float64 {
	if known := placer.byID[id]; known != nil {
		return known.suspicion.at(now)
	}
	return 0
}
