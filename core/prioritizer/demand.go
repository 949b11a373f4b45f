package prioritizer

import (
	"math"
	"time"
)

// Load is what a VM knows of the targets of a service that can take requests now.
type Load struct {
	// Slots is the number of requests that the targets process concurrently.
	Slots int
	// InFlight is the number of requests in slots of the targets that the VM knows of.
	InFlight int
	// Free is the number of slots that no known request uses.
	Free int
	// Share is the share of the fleet's requests that the VM knows of, from 0 to 1. Zero counts as 1.
	Share float64
	// Rejected is true if a target has rejected a known request for lack of room within EvidenceTime.
	Rejected bool
}

// EvidenceTime is how long the rejection by a full target shows that the targets are full. It exceeds the objectives
// of the requests that wait, so that a request isn't sent just to learn again what the one before it has shown.
const EvidenceTime = 5 * time.Second

// full reports whether no target can take a request, as far as the VM can know: it sees no free slot, or the known
// requests use up their part of the slots and targets have said that they are full.
func (load Load) full() bool {
	return load.Free <= 0 || load.Rejected && float64(load.InFlight) >= load.part()
}

// overbooking is the number of requests for each slot of a part of them. As the parts of other groups are rarely used up
// at the same time, slots would stay empty while requests are refused. Requests that exceed the slots wait at a target
// for about a fifth of the time of one request.
const overbooking = 1.2

// part returns the number of slots that the known share of the requests may use, at least one.
func (load Load) part() float64 {
	return max(1, min(1, overbooking*load.share())*float64(load.Slots))
}

func (load Load) share() float64 {
	if load.Share <= 0 || load.Share > 1 {
		return 1
	}
	return load.Share
}

const (
	// averageTime is the time over which the known requests in flight are averaged to estimate those of other
	// groups.
	averageTime = 3 * time.Second
	// correlationTime is how long the number of requests in flight stays similar, about the time of one request.
	correlationTime = 400 * time.Millisecond
)

// demand estimates the requests in flight at a service, most of which other groups have sent.
type demand struct {
	average float64
	last    float64
	updated time.Duration
	started bool
}

// observe records the known requests in flight.
func (demand *demand) observe(load Load, now time.Duration) {
	if elapsed := now - demand.updated; demand.started && elapsed > 0 {
		demand.average += (demand.last - demand.average) * (1 - math.Exp(-float64(elapsed)/float64(averageTime)))
	}
	demand.last, demand.updated, demand.started = float64(load.InFlight), max(demand.updated, now), true
}

// confidence and confidenceRejected are the standard deviations by which the estimate of the unknown requests is
// reduced, so that a VM that knows of few doesn't take chance for load. A rejection by a full target is evidence of its
// own.
const (
	confidence         = 2.5
	confidenceRejected = 1
)

// total returns an estimate of all requests in flight at the targets: the known ones, and for each unknown group the
// average of the known ones, less a margin for chance.
func (demand *demand) total(load Load) float64 {
	margin := confidence * math.Sqrt(demand.average*float64(correlationTime)/float64(averageTime))
	if load.Rejected {
		margin *= confidenceRejected / confidence
	}
	return float64(load.InFlight) + (1/load.share()-1)*max(0, demand.average-margin)
}

// maxWaitFraction is the part of its objective that a request may wait. The rest is for the attempt, a rejection by a
// target and a second attempt.
const maxWaitFraction = 0.4

// MaxWait returns how long a request may wait, given its objective, the time until its deadline, the time for which it
// was held already, and the usual time of an answer, 0 if that isn't known.
func MaxWait(objective, remaining, held, usual time.Duration) time.Duration {
	if objective <= 0 {
		return 0
	}
	objective = min(objective-held, remaining)
	return max(0, min(time.Duration(maxWaitFraction*float64(objective)), objective-usual))
}
