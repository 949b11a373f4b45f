package router

import (
	"time"

	"godwitramp.example/core/ejector"
)

// avoid leaves a target out on this VM alone, if the floor allows one more.
func (service *service) avoid(wanted *target, now time.Duration) {
	if wanted.out(now) {
		return
	}
	if service.outIn(wanted.declared.Region, now) < service.outable(wanted.declared.Region) {
		wanted.avoid(now)
	}
}

// outIn counts the targets of a region that get nothing.
func (service *service) outIn(region string, now time.Duration) int {
	count := 0
	for _, target := range service.targets {
		if target.declared.Region == region && target.out(now) {
			count++
		}
	}
	return count
}

// outable returns how many targets of a region the floor lets be out of use,
// those that leave included.
func (service *service) outable(region string) int {
	var slots []int
	for _, target := range service.targets {
		if target.declared.Region == region {
			slots = append(slots, target.declared.Slots)
		}
	}
	return ejector.AllowedEjections(service.declared.Floor, slots, 0)
}

// eject obeys the fleet's ejections; targets that only this VM avoids come
// back where both together would reach below the floor.
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
		if service.outIn(region, now) > service.outable(region) {
			target.avoidUntil = now
		}
	}
}
