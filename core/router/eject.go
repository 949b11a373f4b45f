package router

import (
	"time"

	"godwitramp.example/core/ejector"
)

// avoid excludes a target on this VM alone, if the service's floor allows one more
// exclusion in the target's region.
func (service *service) avoid(candidate *target, now time.Duration) {
	if candidate.excluded(now) {
		return
	}
	if service.excludedIn(candidate.declared.Region, now) < service.maxExcluded(candidate.declared.Region) {
		candidate.avoid(now)
	}
}

// excludedIn counts the excluded targets of a region.
func (service *service) excludedIn(region string, now time.Duration) int {
	count := 0
	for _, target := range service.targets {
		if target.declared.Region == region && target.excluded(now) {
			count++
		}
	}
	return count
}

// maxExcluded returns how many targets of a region may be excluded at a time without
// going below the floor. Leaving targets count as excluded.
func (service *service) maxExcluded(region string) int {
	var slots []int
	for _, target := range service.targets {
		if target.declared.Region == region {
			slots = append(slots, target.declared.Slots)
		}
	}
	return ejector.AllowedEjections(service.declared.Floor, slots, 0)
}

// eject applies the fleet's ejections. Where they and the targets that only this VM
// avoids would together go below the floor, the avoided targets are used again.
func (service *service) eject(ejections []Ejection, now time.Duration) {
	for _, target := range service.targets {
		target.ejectUntil = min(target.ejectUntil, now)
	}
	for _, ejection := range ejections {
		if target := service.targets[ejection.Target]; target != nil {
			target.ejectUntil = max(target.ejectUntil, ejection.Until)
		}
	}
	for _, target := range service.targets {
		if target.avoidUntil <= now {
			continue
		}
		region := target.declared.Region
		if service.excludedIn(region, now) > service.maxExcluded(region) {
			target.avoidUntil = now
		}
	}
}
