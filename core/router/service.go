package router

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/ejector"
)

// Distances between a VM and a target.
const (
	sameDataCentre = iota
	sameRegion
	otherRegion
	distances
)

const (
	// Random draws before a tier is searched from end to end.
	maxDraws = 8
	// Pressure from which requests may spill to another region.
	spillPressure = 0.5
	// Time after which a request that the spill did not allow may ask again.
	spillWait = 100 * time.Millisecond
)

// service is what this VM knows of one service.
type service struct {
	mutex    sync.Mutex
	declared *configurator.ServiceTargets
	targets  map[configurator.Path]*target
	tiers    [distances][]*target
	baseline baseline
}

// follow takes over a new declaration of the service.
func (service *service) follow(declared *configurator.ServiceTargets, place Place, now time.Duration) {
	if service.declared == declared {
		return
	}
	first := service.declared == nil
	same := !first && slices.Equal(service.declared.Targets, declared.Targets)
	service.declared = declared
	if same {
		return
	}
	known := service.targets
	service.targets = make(map[configurator.Path]*target, len(declared.Targets))
	service.tiers = [distances][]*target{}
	for _, wanted := range declared.Targets {
		kept := known[wanted.Path]
		if kept == nil || kept.declared.Address != wanted.Address {
			kept = &target{}
			if !first {
				kept.rampFrom = now
			}
		}
		if kept.declared.Leaving && !wanted.Leaving {
			kept.rampFrom = now
		}
		kept.declared = wanted
		service.targets[wanted.Path] = kept
		tier := distance(place, wanted)
		service.tiers[tier] = append(service.tiers[tier], kept)
	}
}

func distance(place Place, target configurator.Target) int {
	switch {
	case target.Region != place.Region:
		return otherRegion
	case target.DataCentre != place.DataCentre:
		return sameRegion
	default:
		return sameDataCentre
	}
}

// pick returns the target for an attempt, or nil. A tier whose better target
// looks full passes on a share of its requests that rises with the pressure,
// so that VMs neither stay all nor move all at once.
func (service *service) pick(ask Ask, random *rand.Rand, router *Router) *target {
	var fallback *target
	for tier := range service.tiers {
		if tier == otherRegion && fallback != nil && fallback.pressure(ask.Now, service.baseline.usual()) < spillPressure {
			return fallback
		}
		best := service.choose(tier, ask, random, router)
		if best == nil {
			continue
		}
		// The spill has counted a request to another region as sent.
		if tier == otherRegion || random.Float64() >= best.pressure(ask.Now, service.baseline.usual()) {
			return best
		}
		if fallback == nil {
			fallback = best
		}
	}
	return fallback
}

// choose returns the better of two random open targets of a tier, or nil.
func (service *service) choose(tier int, ask Ask, random *rand.Rand, router *Router) *target {
	candidates := service.tiers[tier]
	if len(candidates) == 0 {
		return nil
	}
	usual := service.baseline.usual()
	var first *target
	for range maxDraws {
		drawn := candidates[random.IntN(len(candidates))]
		if drawn == first || !eligible(drawn, ask) || random.Float64() >= drawn.share(ask.Now) {
			continue
		}
		if first != nil {
			first = cheaper(first, drawn, ask.Now, usual, random)
			break
		}
		first = drawn
	}
	if first == nil {
		first = search(candidates, ask, random)
	}
	if first != nil && tier == otherRegion && !router.maySpill(service.declared, first) {
		return nil
	}
	return first
}

// cheaper returns one of two targets, the one with the lower cost more often.
// Always taking it would make all VMs move to the same target at once.
func cheaper(a, b *target, now time.Duration, usual float64, random *rand.Rand) *target {
	costA, costB := a.cost(now, usual), b.cost(now, usual)
	costA, costB = costA*costA, costB*costB
	if random.Float64()*(costA+costB) < costB {
		return a
	}
	return b
}

// search returns the open target with the largest share, from a random start.
func search(candidates []*target, ask Ask, random *rand.Rand) *target {
	var best *target
	start := random.IntN(len(candidates))
	for i := range candidates {
		candidate := candidates[(start+i)%len(candidates)]
		if !eligible(candidate, ask) {
			continue
		}
		if best == nil || candidate.share(ask.Now) > best.share(ask.Now) {
			best = candidate
		}
	}
	return best
}

func eligible(target *target, ask Ask) bool {
	return target.open(ask.Now) && !slices.Contains(ask.Tried, target.declared.Path)
}

func (router *Router) maySpill(service *configurator.ServiceTargets, target *target) bool {
	return router.Spill != nil &&
		router.Spill.MaySpill(service.Path.Team(), router.Place.Region, target.declared.Region)
}

// done updates the target and returns what the attempt says of it. It reports
// false if the attempt says nothing.
func (service *service) done(result Result, now time.Duration) (ejector.Observation, bool) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	target := service.targets[result.Target]
	if target == nil {
		return ejector.Observation{}, false
	}
	target.running = max(0, target.running-1)
	kind, counts := service.classify(target, result, now)
	if !counts {
		return ejector.Observation{}, false
	}
	switch kind {
	case ejector.Good:
		target.noteGood()
	case ejector.Slow, ejector.Bad:
		if target.noteBad() {
			service.avoid(target, now)
		}
	}
	return target.observation(kind), !result.Waited
}

func (target *target) observation(kind ejector.Kind) ejector.Observation {
	return ejector.Observation{Target: target.declared.Path, Region: target.declared.Region, Kind: kind}
}

// classify tells what a result says of the target's health. A connection that
// was used before may have gone silent or been closed without any fault of
// the target; only fresh ones count.
func (service *service) classify(target *target, result Result, now time.Duration) (ejector.Kind, bool) {
	switch result.Kind {
	case Good:
		slow := result.Latency > service.baseline.patience()
		target.noteLatency(result.Latency)
		service.baseline.add(result.Latency)
		if slow || result.Waited {
			return ejector.Slow, true
		}
		return ejector.Good, true
	case Failed, Truncated, WrongAnswer:
		return ejector.Bad, true
	case ConnectionLost, TimedOut:
		return ejector.Bad, result.FreshConnection
	case Shed:
		target.noteShed(result.RetryAfter, service.baseline.usual(), now)
	case Leaving:
		target.leaveUntil = max(target.leaveUntil, now+LeaveHold)
		return ejector.Leaving, true
	}
	return ejector.Good, false
}

func (service *service) waiting(path configurator.Path, sofar time.Duration, fresh bool, now time.Duration) (ejector.Observation, bool) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	target := service.targets[path]
	if target == nil || !fresh || sofar < service.baseline.patience() {
		return ejector.Observation{}, false
	}
	target.noteLatency(sofar)
	if target.noteBad() {
		service.avoid(target, now)
	}
	return target.observation(ejector.Slow), true
}

// wait returns the time until the first target opens again that a request may
// go to. Those of other regions may be open while the spill is used up.
func (service *service) wait(spills bool, now time.Duration) time.Duration {
	first := time.Duration(0)
	for tier, targets := range service.tiers {
		if tier == otherRegion && !spills {
			continue
		}
		for _, target := range targets {
			if target.declared.Leaving {
				continue
			}
			opens := max(target.closedUntil, target.leaveUntil, target.ejectUntil, target.avoidUntil)
			if tier == otherRegion {
				opens = max(opens, now+spillWait)
			}
			if opens <= now {
				return 0
			}
			if first == 0 || opens < first {
				first = opens
			}
		}
	}
	return max(0, first-now)
}
