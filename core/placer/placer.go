// Package placer picks the target for each attempt of a VM. It is meant for services
// with few requests, few slots per target and gray failures: targets that fail part
// of their requests while passing health checks.
//
// Each target has a suspicion, the estimated probability that it is unhealthy. The
// outcomes of attempts update it, both those of this VM and those that other VMs
// report. An attempt goes to the target with the lowest cost: the suspicion,
// weighted by what a failure would cost (more for a request that can't be retried),
// the expected wait for a slot, given the attempts in flight, and the distance to
// the target. Before that, it goes to a target of the VM's data centre that has been idle for
// too long: most targets that are not known to fail must be in use at all times.
//
// # Usage
//
//	placer := &placer.Placer{Locality: locality, Regions: regions}
//	placer.Replace(targets, now)
//	target, ok := placer.Pick(placer.PickInfo{Service: service, Now: now}, random)
//	placer.Done(target, placer.Good, now)
package placer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"godwitramp.example/core/indexer"
)

// Locality is the location of a VM.
type Locality struct {
	Region     string
	DataCentre string
}

// Placer holds the state of the targets. It isn't safe for concurrent use. Set the
// exported fields before the first call.
type Placer struct {
	Locality Locality
	// Regions maps each data centre to its region.
	Regions map[string]string
	// Floor is the share of a service's sound targets that must be in use, from 0 to 1. Zero
	// counts as 0.7. A change takes effect at the next Replace.
	Floor float64
	// FleetShare is the share of the fleet's requests that RecordSuccess and RecordFailure
	// count, from 0 to 1. It may change between calls. Zero counts as 1.
	FleetShare float64
	// Group is the position of the VM's group among the Groups of its data centre, which
	// divide the trials of idle targets between them. They may change between calls. With
	// Groups of 0 or 1 the VM tries every target of the data centre.
	Group, Groups int

	// reach is set by SetReach. Until then the VM sends nothing to targets with limits.
	reach     float64
	byID      map[string]*target
	byService map[string][]*target
	// near are the numbers of targets in the VM's data centre, by service.
	near         map[string]int
	failureRates map[string]*failureRates
	// warmups and warmupBounds are set by SetWarmups.
	warmups      map[string]Warmup
	warmupBounds WarmupBounds
	// cold has the IDs of the targets that have become cold since the last call of WarmupChanges, or were then.
	cold map[string]bool
	// leaving holds the target instances that announced in an answer that they
	// leave.
	leaving map[instance]bool
	// evacuated holds the data centres that are evacuated.
	evacuated map[string]bool
	// ownInFlight are the numbers of this VM's attempts in flight, by data centre.
	ownInFlight map[string]int
	// witnesses are the targets that answered this VM last.
	witnesses []witness
}

// The costs of an attempt. The unit is the cost of a failed request that can't be
// retried.
const (
	// retryableFailureCost is the cost of a failed request that can be retried: the
	// time of a second attempt.
	retryableFailureCost = 0.3
	// crossDataCentreCost and crossRegionCost are the price of transferring the
	// request and its answer.
	crossDataCentreCost = 0.08
	crossRegionCost     = 0.25
	// loadCost is the cost of a target all of whose slots are in use. It is
	// proportional to the load below that.
	loadCost = 0.05
	// queueCost, divided by the number of slots, is the cost of each request that
	// would wait for a slot, this one included.
	queueCost = 0.8
	// warmupCost is the cost of a target that has just started and is still slow.
	warmupCost = 0.04
	// jitter spreads the VMs over targets of equal cost.
	jitter = 0.02
)

// maxRetrySuspicion is the suspicion above which a request isn't retried on the same
// target: the retry would more likely fail than not.
const maxRetrySuspicion = 0.5

// PickInfo describes the attempt that a target is picked for.
type PickInfo struct {
	Service string
	// Tried are the IDs of the targets that this request has already been sent to.
	Tried []string
	// RetryTried picks among the tried targets instead of the others.
	RetryTried bool
	// Regions are those whose targets may be picked, nil for all.
	Regions []string
	// Retryable is true if a failed attempt can be followed by another.
	Retryable bool
	// Hedge is true if the attempt is a hedge: it goes to a target with a free slot that is likely to
	// answer, in another data centre than those of InUse if there is one, and is no trial.
	Hedge bool
	// InUse are the data centres with an attempt of the request in flight.
	InUse []string
	// Now is the time on a monotonic clock, the same clock for all calls.
	Now time.Duration
}

// Replace sets the targets. The state of a target is kept if its ID, incarnation and
// address are unchanged.
func (placer *Placer) Replace(targets []Target, now time.Duration) {
	byID := make(map[string]*target, len(targets))
	byService := make(map[string][]*target)
	near := make(map[string]int)
	for _, declared := range targets {
		known, fresh := placer.byID[declared.ID], false
		if known == nil || known.Incarnation != declared.Incarnation || known.Address != declared.Address {
			known = &target{hash: hashOf(declared.ID), suspicion: suspicion{probability: initialSuspicion, updated: now}, warmUntil: now + declared.Warmup, lastAttemptAt: now}
			fresh = true
		}
		before := known.Target
		known.Target, known.evacuated = declared, placer.evacuated[declared.DataCentre]
		placer.learnWarmup(known, before, fresh, now)
		known.announcedLeaving = placer.leaving[instance{id: declared.ID, incarnation: declared.Incarnation}]
		byID[declared.ID] = known
		byService[declared.Service] = append(byService[declared.Service], known)
		if declared.DataCentre == placer.Locality.DataCentre {
			near[declared.Service]++
		}
	}
	placer.byID = byID
	placer.byService = byService
	placer.near = near
	placer.markSpares()
}

// Pick returns the target for one attempt and counts the attempt as in flight until
// Done. It returns false if no target can take a request now.
func (placer *Placer) Pick(info PickInfo, random *rand.Rand) (Target, bool) {
	picked, ok := placer.Peek(info, random)
	if ok {
		placer.Take(picked, info.Now)
	}
	return picked, ok
}

// Take counts an attempt at a target that Peek has just returned as in flight until Done.
func (placer *Placer) Take(peeked Target, now time.Duration) {
	picked := placer.byID[peeked.ID]
	picked.ownInFlight++
	placer.countInFlight(picked.DataCentre, 1)
	picked.lastAttemptAt = now
	picked.limit.take(now)
	picked.warmup.take(now)
}

// Peek returns the target that Pick would pick, and counts nothing.
func (placer *Placer) Peek(info PickInfo, random *rand.Rand) (Target, bool) {
	picked := placer.choose(info, random)
	if picked == nil {
		return Target{}, false
	}
	return picked.Target, true
}

func (placer *Placer) choose(info PickInfo, random *rand.Rand) *target {
	picked := placer.cheapest(info, random)
	switch {
	case info.Hedge:
		if picked == nil && len(info.InUse) > 0 {
			info.InUse = nil
			picked = placer.cheapest(info, random)
		}
	case !info.RetryTried:
		picked = cmp.Or(placer.trial(info), picked)
	}
	return picked
}

// cheapest returns the target with the lowest cost, or nil if none can take the attempt.
func (placer *Placer) cheapest(info PickInfo, random *rand.Rand) *target {
	var best *target
	lowestCost := 0.0
	for _, candidate := range placer.byService[info.Service] {
		if !placer.eligible(candidate, info) || slices.Contains(info.Tried, candidate.ID) != info.RetryTried {
			continue
		}
		if info.RetryTried && candidate.suspicion.at(info.Now) > maxRetrySuspicion {
			continue
		}
		cost := placer.cost(candidate, info) + jitter*random.Float64()
		if best == nil || cost < lowestCost {
			best, lowestCost = candidate, cost
		}
	}
	return best
}

// eligible reports whether the target may receive the attempt now, apart from the targets that were tried.
func (placer *Placer) eligible(candidate *target, info PickInfo) bool {
	return placer.Permits(candidate.Target, info.Regions) && candidate.available(info.Now) &&
		placer.withinLimit(candidate, info.Now) && placer.withinWarmup(candidate, info.Now) && (!info.Hedge || placer.takesHedge(candidate, info))
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
	if target.warmUntil > info.Now && placer.warmups[target.Service].Rate <= 0 { // else it gets no more than it tolerates
		cost += warmupCost
	}
	return cost + target.rampUpCost(info.Now)
}

// permitted returns the targets of the service in the regions, nil for all, that aren't evacuated.
func (placer *Placer) permitted(service string, regions []string) []*target {
	targets := placer.unevacuated(service)
	if regions == nil {
		return targets
	}
	return slices.DeleteFunc(slices.Clone(targets), func(target *target) bool { return !placer.Permits(target.Target, regions) })
}

// Targets returns the number of targets of the service in the regions, nil for all, that aren't evacuated.
func (placer *Placer) Targets(service string, regions []string) int {
	return len(placer.permitted(service, regions))
}

// Random returns a random target of the service in the regions, nil for all, that isn't evacuated, or false if
// there is none.
func (placer *Placer) Random(service string, regions []string, random *rand.Rand) (Target, bool) {
	targets := placer.permitted(service, regions)
	if len(targets) == 0 {
		return Target{}, false
	}
	return targets[random.IntN(len(targets))].Target, true
}

// Permits reports whether the target is in one of the regions, or they are nil.
func (placer *Placer) Permits(target Target, regions []string) bool {
	return indexer.Permits(regions, placer.Regions[target.DataCentre])
}

// EndBackoffs makes the targets of a service in the regions, nil for all, that could not be reached available at
// once, as this VM reaches others again.
func (placer *Placer) EndBackoffs(service string, regions []string, now time.Duration) {
	for _, target := range placer.permitted(service, regions) {
		if target.connectFailures > 0 {
			target.connectFailures, target.backoffUntil = 0, min(target.backoffUntil, now)
		}
	}
}

// Usable reports whether a picked target may still receive the request.
func (placer *Placer) Usable(picked Target, now time.Duration) bool {
	return placer.Present(picked) && !placer.byID[picked.ID].excluded() && !placer.byID[picked.ID].coolingDown(now)
}

// Done records the end of an attempt of this VM.
func (placer *Placer) Done(picked Target, outcome Outcome, now time.Duration) {
	placer.countInFlight(picked.DataCentre, -1)
	known := placer.byID[picked.ID]
	if known == nil || known.Incarnation != picked.Incarnation {
		return
	}
	known.ownInFlight = max(0, known.ownInFlight-1)
	known.record(outcome, true, now)
	placer.updateWarmup(known, now)
	if outcome.isAnswer() {
		placer.recordAnswer(known, now)
	}
}

// PeerStarted records the start of an attempt of another VM.
func (placer *Placer) PeerStarted(id string, now time.Duration) {
	if known := placer.byID[id]; known != nil {
		known.peerStarted(now)
	}
}

// PeerDone records the end of an attempt of another VM whose start was reported by
// PeerStarted.
func (placer *Placer) PeerDone(id string, outcome Outcome, now time.Duration) {
	if known := placer.byID[id]; known != nil {
		known.peerDone()
		known.record(outcome, false, now)
		placer.updateWarmup(known, now)
	}
}

// PeerOutcome records the outcome of an attempt of another VM that doesn't report
// the starts of its attempts.
func (placer *Placer) PeerOutcome(id string, outcome Outcome, now time.Duration) {
	if known := placer.byID[id]; known != nil {
		known.lastAttemptAt = max(known.lastAttemptAt, now)
		known.record(outcome, false, now)
		placer.updateWarmup(known, now)
	}
}

// Suspicion returns the estimated probability that the target is unhealthy, for
// logs. It is 0 for an unknown target.
func (placer *Placer) Suspicion(id string, now time.Duration) float64 {
	if known := placer.byID[id]; known != nil {
		return known.suspicion.at(now)
	}
	return 0
}
