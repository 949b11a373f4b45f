package placer

import (
	"slices"
	"time"
)

// takesHedge reports whether a hedge may go to the target: waiting for a slot, or for a target that is likely to
// fail, would take longer than the first attempt.
func (placer *Placer) takesHedge(target *target, info PickInfo) bool {
	return target.inFlight(info.Now) < target.Slots && target.suspicion.at(info.Now) <= maxRetrySuspicion &&
		target.warmUntil <= info.Now && !placer.isCold(target, info.Now) && !slices.Contains(info.InUse, target.DataCentre)
}

// Room returns the attempts in flight that this VM knows of and the slots of the service's targets in the regions, nil
// for all, that take requests, and whether one of them has rejected a request within a time.
func (placer *Placer) Room(service string, regions []string, within, now time.Duration) (inFlight, slots int, rejected bool) {
	for _, target := range placer.permitted(service, regions) {
		inFlight += target.inFlight(now)
		if target.available(now) && !placer.isCold(target, now) {
			slots += target.Slots
		}
		rejected = rejected || target.rejected && now-target.rejectedAt < within
	}
	return inFlight, slots, rejected
}
