package placer

import "time"

// Occupancy is what this VM knows of the slots of a service.
type Occupancy struct {
	// Slots is the number of requests that the targets that may receive requests now process concurrently, InFlight
	// the number of these slots that known requests use, and Free the number of others.
	Slots, InFlight, Free int
	// Rejected is true if a target rejected a known request for lack of room recently, also if it may not receive
	// requests now.
	Rejected bool
}

// Occupancy returns the occupancy of a service. Recent is how long ago a rejection may have been.
func (placer *Placer) Occupancy(service string, recent, now time.Duration) Occupancy {
	var occupancy Occupancy
	info := PickInfo{Service: service, Now: now}
	for _, target := range placer.byService[service] {
		if target.isLeaving() {
			continue
		}
		occupancy.Rejected = occupancy.Rejected || target.rejected && now-target.rejectedAt <= recent
		if !placer.eligible(target, info) {
			continue
		}
		slots := max(1, target.Slots)
		used := min(slots, target.inFlight(now))
		occupancy.Slots += slots
		occupancy.InFlight += used
		occupancy.Free += slots - used
	}
	return occupancy
}
