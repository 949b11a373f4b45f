package router

import (
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/ejector"
)

// Tiers of targets by their distance from the VM, nearest first.
const (
	sameDataCentre = iota
	sameRegion
	otherRegion
	tierCount
)

const (
	// maxDraws is the number of random draws before a tier is searched completely.
	maxDraws = 8
	// spillPressure is the pressure from which requests may go to another region.
	spillPressure = 0.5
	// spillWait is the pause after which a request refused by the spillover limit may
	// try again.
	spillWait = 100 * time.Millisecond
)

// service is this VM's state of one service.
type service struct {
	mutex    sync.Mutex
	declared *configurator.ServiceTargets
	targets  map[configurator.Path]*target
	tiers    [tierCount][]*target
	baseline baseline
}

// update applies a new declaration of the service. It keeps the state of targets whose
// address is unchanged. Targets that are added later, get a new address or stop
// leaving start with a ramp.
func (service *service) update(declared *configurator.ServiceTargets, locality Locality, now time.Duration) {
	if service.declared == declared {
		return
	}
	initial := service.declared == nil
	same := !initial && slices.Equal(service.declared.Targets, declared.Targets)
	service.declared = declared
	if same {
		return
	}
	known := service.targets
	service.targets = make(map[configurator.Path]*target, len(declared.Targets))
	service.tiers = [tierCount][]*target{}
	for _, declaration := range declared.Targets {
		state := known[declaration.Path]
		if state == nil || state.declared.Address != declaration.Address {
			state = &target{}
			if !initial {
				state.rampStart = now
			}
		}
		if state.declared.Leaving && !declaration.Leaving {
			state.rampStart = now
		}
		state.declared = declaration
		service.targets[declaration.Path] = state
		tier := tierOf(locality, declaration)
		service.tiers[tier] = append(service.tiers[tier], state)
	}
}

// tierOf returns the tier of a target as seen from a VM at the locality.
func tierOf(locality Locality, target configurator.Target) int {
	switch {
	case target.Region != locality.Region:
		return otherRegion
	case target.DataCentre != locality.DataCentre:
		return sameRegion
	default:
		return sameDataCentre
	}
}

// pick returns the target for an attempt, or nil. If the chosen target of a tier looks
// full, a share of the requests that grows with its pressure goes on to the next tier,
// so that the VMs don't all stay or all move at once.
func (service *service) pick(info PickInfo, random *rand.Rand, router *Router) *target {
	var fallback *target
	for tier := range service.tiers {
		if tier == otherRegion && fallback != nil && fallback.pressure(info.Now, service.baseline.typical()) < spillPressure {
			return fallback
		}
		best := service.choose(tier, info, random, router)
		if best == nil {
			continue
		}
		// MaySpill has already counted a request to another region as sent.
		if tier == otherRegion || random.Float64() >= best.pressure(info.Now, service.baseline.typical()) {
			return best
		}
		if fallback == nil {
			fallback = best
		}
	}
	return fallback
}

// choose compares two random eligible targets of a tier and returns one, or nil if
// the tier has none or the spillover limit forbids it.
func (service *service) choose(tier int, info PickInfo, random *rand.Rand, router *Router) *target {
	candidates := service.tiers[tier]
	if len(candidates) == 0 {
		return nil
	}
	typical := service.baseline.typical()
	var first *target
	for range maxDraws {
		drawn := candidates[random.IntN(len(candidates))]
		if drawn == first || !eligible(drawn, info) || random.Float64() >= drawn.trafficShare(info.Now) {
			continue
		}
		if first != nil {
			first = chooseByCost(first, drawn, info.Now, typical, random)
			break
		}
		first = drawn
	}
	if first == nil {
		first = search(candidates, info, random)
	}
	if first != nil && tier == otherRegion && !router.maySpill(service.declared, first) {
		return nil
	}
	return first
}

// chooseByCost returns one of two targets at random, the one with the lower cost with
// a higher probability. Always taking the cheaper one would make all VMs move to the
// same target at once.
func chooseByCost(a, b *target, now time.Duration, typical float64, random *rand.Rand) *target {
	costA, costB := a.cost(now, typical), b.cost(now, typical)
	costA, costB = costA*costA, costB*costB
	if random.Float64()*(costA+costB) < costB {
		return a
	}
	return b
}

// search returns the eligible target with the largest traffic share, starting at a
// random position.
func search(candidates []*target, info PickInfo, random *rand.Rand) *target {
	var best *target
	start := random.IntN(len(candidates))
	for i := range candidates {
		candidate := candidates[(start+i)%len(candidates)]
		if !eligible(candidate, info) {
			continue
		}
		if best == nil || candidate.trafficShare(info.Now) > best.trafficShare(info.Now) {
			best = candidate
		}
	}
	return best
}

// eligible reports whether the target is open and the request hasn't tried it yet.
func eligible(target *target, info PickInfo) bool {
	return target.open(info.Now) && !slices.Contains(info.Tried, target.declared.Path)
}

func (router *Router) maySpill(service *configurator.ServiceTargets, target *target) bool {
	return router.SpilloverLimit != nil &&
		router.SpilloverLimit.MaySpill(service.Path.Team(), router.Locality.Region, target.declared.Region)
}

// done updates the target and returns the attempt's evidence on its health. It
// reports false if there is none to pass on to the Observer.
func (service *service) done(result Result, now time.Duration) (ejector.Observation, bool) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	target := service.targets[result.Target]
	if target == nil {
		return ejector.Observation{}, false
	}
	target.inFlight = max(0, target.inFlight-1)
	kind, counts := service.classify(target, result, now)
	if !counts {
		return ejector.Observation{}, false
	}
	switch kind {
	case ejector.Good:
		target.recordGood()
	case ejector.Slow, ejector.Bad:
		if target.recordBad() {
			service.avoid(target, now)
		}
	}
	return target.observation(kind), !result.ReportedSlow
}

func (target *target) observation(kind ejector.Kind) ejector.Observation {
	return ejector.Observation{Target: target.declared.Path, Region: target.declared.Region, Kind: kind}
}

// classify returns what a result says about the target's health. It reports false if
// it says nothing. A reused connection may have died or been closed without a fault
// of the target, so lost connections and timeouts count only on fresh ones.
func (service *service) classify(target *target, result Result, now time.Duration) (ejector.Kind, bool) {
	switch result.Kind {
	case Good:
		slow := result.Latency > service.baseline.slowThreshold()
		target.recordLatency(result.Latency)
		service.baseline.add(result.Latency)
		if slow || result.ReportedSlow {
			return ejector.Slow, true
		}
		return ejector.Good, true
	case Failed, Truncated, WrongAnswer:
		return ejector.Bad, true
	case ConnectionLost, TimedOut:
		return ejector.Bad, result.FreshConnection
	case Shed:
		target.recordShed(result.RetryAfter, service.baseline.typical(), now)
	case Leaving:
		target.leaveUntil = max(target.leaveUntil, now+LeavingTTL)
		return ejector.Leaving, true
	}
	return ejector.Good, false
}

// reportPending implements Router.ReportPending for a target of the service.
func (service *service) reportPending(path configurator.Path, elapsed time.Duration, fresh bool, now time.Duration) (ejector.Observation, bool) {
	service.mutex.Lock()
	defer service.mutex.Unlock()
	target := service.targets[path]
	if target == nil || !fresh || elapsed < service.baseline.slowThreshold() {
		return ejector.Observation{}, false
	}
	target.recordLatency(elapsed)
	if target.recordBad() {
		service.avoid(target, now)
	}
	return target.observation(ejector.Slow), true
}

// waitTime returns the time until the first reachable target opens again. An open
// target of another region counts only after spillWait, as the spillover limit may be
// used up.
func (service *service) waitTime(spillAllowed bool, now time.Duration) time.Duration {
	first := time.Duration(0)
	for tier, targets := range service.tiers {
		if tier == otherRegion && !spillAllowed {
			continue
		}
		for _, target := range targets {
			if target.declared.Leaving {
				continue
			}
			opensAt := max(target.closedUntil, target.leaveUntil, target.ejectUntil, target.avoidUntil)
			if tier == otherRegion {
				opensAt = max(opensAt, now+spillWait)
			}
			if opensAt <= now {
				return 0
			}
			if first == 0 || opensAt < first {
				first = opensAt
			}
		}
	}
	return max(0, first-now)
}
