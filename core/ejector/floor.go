package ejector

import (
	"math"
	"slices"

	"godwitramp.example/core/configurator"
)

// roundingTolerance absorbs floating-point rounding errors of shares.
const roundingTolerance = 1e-9

// Group is the set of targets of one service in one region, which share a floor.
type Group struct {
	Service configurator.Path
	Region  string
}

// AllowedEjections returns how many targets of a group may be ejected at the same
// time. Even in the worst case, the remaining ones are at least the floor's share of
// the targets and of their slots, and at least one target. Leaving targets count as
// ejected. The floor is a share from 0 to 1.
func AllowedEjections(floor float64, slots []int, leaving int) int {
	inUse := max(1, minCount(floor, len(slots)))
	allowed := min(len(slots)-inUse, allowedBySlots(floor, slots))
	return max(0, allowed-leaving)
}

// allowedBySlots returns how many of the targets with the most slots can be ejected.
func allowedBySlots(floor float64, slots []int) int {
	sorted := slices.Clone(slots)
	slices.Sort(sorted)
	slices.Reverse(sorted)
	total := 0
	for _, count := range sorted {
		total += count
	}
	spare := total - minCount(floor, total)
	for i, count := range sorted {
		spare -= count
		if spare < 0 {
			return i
		}
	}
	return len(sorted)
}

func minCount(floor float64, count int) int {
	return int(math.Ceil(floor*float64(count) - roundingTolerance))
}

// AllowedEjectionsIn returns how many targets of the region may be ejected according
// to the configuration.
func AllowedEjectionsIn(service *configurator.ServiceTargets, region string) int {
	var slots []int
	leaving := 0
	for _, target := range service.Targets {
		if target.Region != region {
			continue
		}
		slots = append(slots, target.Slots)
		if target.Leaving {
			leaving++
		}
	}
	return AllowedEjections(service.Floor, slots, leaving)
}
