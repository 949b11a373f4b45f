package placer

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"time"
)

// Trials keep the healthy targets of a service in use at all times, also while few requests
// fail: if all VMs lose power, the requests of the last moments are lost, and by then the share
// of the targets in use must be high already.
const (
	// maxIdle is how long a target stays without a request, so that it gets one in each two
	// seconds, and most often in the second before a loss of all VMs.
	maxIdle = time.Second
	// maxIdleInGroup is the same if several groups use the target, whose requests a VM knows
	// only for its own.
	maxIdleInGroup = 1500 * time.Millisecond
	// maxSpareIdle is how long a target stays without a request while enough others are in use.
	maxSpareIdle = 15 * time.Second
	// minRest and maxRest are how long a target isn't tried after a failure, the first and
	// any further one in a row. A target that failed counts as sound two seconds later, and
	// must get a request within two more.
	minRest = 3 * time.Second
	maxRest = 3500 * time.Millisecond
	// soundAfter is how long after a failure a target counts as sound.
	soundAfter   = 2 * time.Second
	defaultFloor = 0.7
)

// markSpares marks as many targets of a service as spare as may be idle, evenly by their hashes, so
// that all VMs agree on them. For each, some target of its data centre may be idle. There are
// fewer than the floor allows, as other targets are idle by chance.
func markSpares(targets []*target, floor float64) {
	count := float64(len(targets))
	spares := max(0, int((1-floor)*count-math.Sqrt(count)))
	ordered := slices.SortedFunc(slices.Values(targets), func(a, b *target) int {
		return cmp.Or(cmp.Compare(a.hash, b.hash), cmp.Compare(a.ID, b.ID))
	})
	for i, target := range ordered {
		target.spare = (i+1)*spares/len(ordered) > i*spares/len(ordered)
	}
}

// trial returns the idle target of the VM's data centre that should receive the attempt, the
// least suspect one, or nil if enough targets are in use and none is overdue.
func (placer *Placer) trial(info PickInfo) *target {
	divided := placer.dividesTrials(info.Service, info.Now)
	var best, overdue *target
	idle, spares := 0, 0
	for _, candidate := range placer.byService[info.Service] {
		if !placer.isNear(candidate) || !placer.eligible(candidate, info) || divided && !placer.tries(candidate) || candidate.failedWithin(soundAfter, info.Now) {
			continue
		}
		if candidate.spare {
			spares++
		}
		if info.Now-candidate.lastAttemptAt <= placer.maxIdle() {
			continue
		}
		idle++
		if !candidate.maySucceed(info) {
			continue
		}
		if candidate.isOverdue(info.Now) {
			overdue = candidate
		}
		if best == nil || candidate.suspicion.at(info.Now) < best.suspicion.at(info.Now) {
			best = candidate
		}
	}
	if idle > spares {
		return best
	}
	return overdue
}

// isOverdue reports whether an idle target should be tried even while enough others are in use.
// Only answers show that the limit of a target has ended.
func (target *target) isOverdue(now time.Duration) bool {
	return target.limit != nil || now-target.lastAttemptAt > maxSpareIdle
}

// isNear reports whether the target is in the VM's data centre.
func (placer *Placer) isNear(target *target) bool {
	return target.DataCentre == placer.Locality.DataCentre
}

func (placer *Placer) maxIdle() time.Duration {
	if placer.Groups > 1 {
		return maxIdleInGroup
	}
	return maxIdle
}

// maySucceed reports whether a trial has a slot and enough time has passed since the last
// failure and cool-down.
func (target *target) maySucceed(info PickInfo) bool {
	rest := minRest
	if target.failures > 1 {
		rest = maxRest
	}
	return !slices.Contains(info.Tried, target.ID) && target.inFlight(info.Now) < target.Slots && target.rampUpCost(info.Now) == 0 && !target.failedWithin(rest, info.Now)
}

// failedWithin reports whether the last known attempts failed, the last less than the duration
// ago.
func (target *target) failedWithin(duration, now time.Duration) bool {
	return target.failures > 0 && now-target.failedAt < duration
}

// maxTrialTime is the time in which a group must be able to try its part of the targets with
// its usual load, so that all are tried within two seconds.
const maxTrialTime = 500 * time.Millisecond

// dividesTrials reports whether each group of the data centre tries only its own part of the
// service's targets. With little load each group tries all of them.
func (placer *Placer) dividesTrials(service string, now time.Duration) bool {
	if placer.Groups <= 1 {
		return false
	}
	return placer.Load(service, now)*maxTrialTime.Seconds() >= float64(placer.near[service])/float64(placer.Groups)
}

// tries reports whether the target is in the group's part.
func (placer *Placer) tries(target *target) bool {
	return int(target.hash%uint32(placer.Groups)) == placer.Group
}

// hashOf spreads target IDs over groups.
func hashOf(id string) uint32 {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(id)) // never fails
	return hash.Sum32()
}
