package ejector

import (
	"math"
	"slices"

	"godwitramp.example/core/configurator"
)

// roundingError absorbs the error of a share computed in floating point.
const roundingTolerance = 1e-9

// Group is the targets of one service in one region, which share a floor.
type Group struct {
	Service configurator.Path
	Region  string
}

// Allowed returns how many targets of a group may be ejected at a time: in
// the worst case what stays in use is at least the floor's share both of the
// targets and of their slots, and never less than one target. Targets that
// leave count as out of use. The floor is a share from 0 to 1.
func AllowedEjections(floor float64, slots []int, leaving int) int {
	inUse := max(1, minCount(floor, len(slots)))
	allowed := min(len(slots)-inUse, allowedBySlots(floor, slots))
	return max(0, allowed-leaving)
}

// allowedBySlots counts how many of the largest targets can go.
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

// AllowedIn returns how many targets of the region may be ejected, as far as
// the configuration says.
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
