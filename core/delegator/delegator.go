// Package delegator decides when a VM that can't reach the targets of a service passes its
// requests on to another VM, and to which.
//
// A VM counts as isolated from a service once it has failed to reach several of its targets and
// has opened no connection to any since. From then on its requests go to another VM at once, the
// nearest first, as each own try would cost the request time. A connection is tried now and then,
// without a request, and the isolation ends once several in a row can be opened. Whether the targets are
// down for all or only the VM is cut off need not be known: another VM that can't reach them
// either says so, and isn't asked for a moment. If none of several can serve a request, the
// service's requests stay here for a while.
//
// # Usage
//
//	delegator := &delegator.Delegator{}
//	delegator.RecordUnreachable(service, target, targets, now)
//	if delegator.Delegates(service, now) {
//		if delegator.ProbeDue(service, now) {
//			// Try to open a connection, and call RecordConnected if that succeeds.
//		}
//		peer, ok := delegator.Choose(candidates, regions, tried, now, random)
//	}
package delegator

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"godwitramp.example/core/indexer"
)

const (
	// minDecisive is the number of targets that can't be reached, one after the other, from which a
	// service counts as isolated, or that can be reached from which it doesn't. Of services with fewer
	// targets all decide.
	minDecisive = 2
	// evidenceTime is how long a failed connection counts.
	evidenceTime = 5 * time.Second
	// probeInterval is the time between probes of a service.
	probeInterval = 500 * time.Millisecond
	// minPeerRest is how long a VM isn't asked that could not serve a request. It doubles with each
	// further refusal up to maxPeerRest.
	minPeerRest = time.Second
	maxPeerRest = 8 * time.Second
	// servedTime is how long a VM that has served a request is preferred after a refusal.
	servedTime = 5 * time.Second
	// minPause is how long requests of a service aren't passed on after no VM could serve one. It
	// doubles each time up to maxPause.
	minPause = 500 * time.Millisecond
	maxPause = 4 * time.Second
)

// Distance is how far away another VM is.
type Distance int

// The distances, nearest first.
const (
	SameDataCentre Distance = iota
	SameRegion
	OtherRegion
)

// Candidate is a VM that may be asked, in a region.
type Candidate struct {
	Address  string
	Region   string
	Distance Distance
}

// Delegator holds what a VM knows of its paths to targets and of other VMs. Its zero value is
// ready to use. It isn't safe for concurrent use.
type Delegator struct {
	services map[string]*reach
	// resting are the VMs that could not serve a request, by address, and servedAt the times at
	// which others did.
	resting  map[string]rest
	servedAt map[string]time.Duration
}

// rest is the time in which a VM isn't asked.
type rest struct {
	until    time.Duration
	refusals int
}

// reach is what is known of the paths to the targets of a service.
type reach struct {
	// failedAt are the times at which connections to targets failed since the last one that was
	// opened, by the IDs of the targets.
	failedAt map[string]time.Duration
	isolated bool
	// connected are the targets to which connections were opened one after the other during the
	// isolation.
	connected map[string]bool
	probedAt  time.Duration
	// pausedUntil is the end of the last pause, and pauses counts those in a row.
	pausedUntil time.Duration
	pauses      int
}

// RecordUnreachable records that a target of a service could not be reached. The service has the
// given number of targets. It returns true if the VM counts as isolated from now on.
func (delegator *Delegator) RecordUnreachable(service, target string, targets int, now time.Duration) bool {
	if delegator.services == nil {
		delegator.services = make(map[string]*reach)
	}
	known := delegator.services[service]
	if known == nil {
		known = &reach{failedAt: make(map[string]time.Duration)}
		delegator.services[service] = known
	}
	known.failedAt[target] = now
	if known.isolated {
		clear(known.connected)
		return false
	}
	for id, failedAt := range known.failedAt {
		if now-failedAt > evidenceTime {
			delete(known.failedAt, id)
		}
	}
	known.isolated = len(known.failedAt) >= decisive(targets)
	known.probedAt = now
	return known.isolated
}

// decisive returns how many of the targets of a service decide whether the VM is isolated from it.
func decisive(targets int) int { return min(minDecisive, max(1, targets)) }

// RecordConnected records that a connection to a target of a service with the given number of
// targets was opened. It returns true if the VM doesn't count as isolated any more.
func (delegator *Delegator) RecordConnected(service, target string, targets int) bool {
	known := delegator.services[service]
	switch {
	case known == nil:
		return false
	case !known.isolated:
		delete(delegator.services, service)
		return false
	case known.connected == nil:
		known.connected = make(map[string]bool)
	}
	known.connected[target] = true
	if len(known.connected) < decisive(targets) {
		return false // a few targets may be in reach while others aren't
	}
	delete(delegator.services, service)
	return true
}

// Isolated reports whether the VM can't reach the targets of a service.
func (delegator *Delegator) Isolated(service string) bool {
	known := delegator.services[service]
	return known != nil && known.isolated
}

// Delegates reports whether requests of the service should be passed on.
func (delegator *Delegator) Delegates(service string, now time.Duration) bool {
	known := delegator.services[service]
	return known != nil && known.isolated && known.pausedUntil <= now
}

// RecordUnserved records that a request of the service was passed on, and no VM could serve it.
func (delegator *Delegator) RecordUnserved(service string, now time.Duration) {
	if known := delegator.services[service]; known != nil && known.pausedUntil <= now {
		known.pausedUntil = now + min(maxPause, minPause<<min(known.pauses, 10))
		known.pauses++
	}
}

// Unreachable returns the number of targets of the service that could not be reached since the last
// connection.
func (delegator *Delegator) Unreachable(service string) int {
	if known := delegator.services[service]; known != nil {
		return len(known.failedAt)
	}
	return 0
}

// ProbeDue reports whether a connection to some target of an isolated service should be tried, and
// counts it as tried.
func (delegator *Delegator) ProbeDue(service string, now time.Duration) bool {
	known := delegator.services[service]
	if known == nil || !known.isolated || now-known.probedAt < probeInterval {
		return false
	}
	known.probedAt = now
	return true
}

// RecordRefusal records that a VM could not serve a request, so that others are asked first.
func (delegator *Delegator) RecordRefusal(address string, now time.Duration) {
	if delegator.resting == nil {
		delegator.resting = make(map[string]rest)
	}
	maps.DeleteFunc(delegator.resting, func(_ string, rest rest) bool { return rest.until < now-maxPeerRest })
	refusals := delegator.resting[address].refusals
	delete(delegator.servedAt, address)
	delegator.resting[address] = rest{until: now + min(maxPeerRest, minPeerRest<<min(refusals, 10)), refusals: refusals + 1}
}

// RecordServed records that a VM has served a request of a service.
func (delegator *Delegator) RecordServed(service, address string, now time.Duration) {
	if known := delegator.services[service]; known != nil {
		known.pauses = 0
	}
	delete(delegator.resting, address)
	if delegator.servedAt == nil {
		delegator.servedAt = make(map[string]time.Duration)
	}
	maps.DeleteFunc(delegator.servedAt, func(_ string, at time.Duration) bool { return now-at > servedTime })
	delegator.servedAt[address] = now
}

// Choose returns the address of a random one of the nearest candidates in the regions, nil for all, that may be
// asked, or false if there is none. After a VM in vain it prefers one that has served a request a moment ago, and
// then looks one step further away for each, since a cut often concerns a whole data centre or
// region.
func (delegator *Delegator) Choose(candidates []Candidate, regions, tried []string, now time.Duration, random *rand.Rand) (string, bool) {
	if regions != nil {
		candidates = slices.DeleteFunc(slices.Clone(candidates), func(candidate Candidate) bool { return !indexer.Permits(regions, candidate.Region) })
	}
	if len(tried) > 0 {
		proven := slices.DeleteFunc(slices.Clone(candidates), func(candidate Candidate) bool {
			at, served := delegator.servedAt[candidate.Address]
			return !served || now-at > servedTime
		})
		candidates := delegator.nearest(proven, tried, SameDataCentre, now)
		if len(candidates) > 0 {
			return candidates[random.IntN(len(candidates))].Address, true
		}
	}
	for least := min(Distance(len(tried)), OtherRegion); least >= SameDataCentre; least-- {
		nearest := delegator.nearest(candidates, tried, least, now)
		if len(nearest) > 0 {
			return nearest[random.IntN(len(nearest))].Address, true
		}
	}
	return "", false
}

// nearest returns the candidates that may be asked at the smallest distance from least on.
func (delegator *Delegator) nearest(candidates []Candidate, tried []string, least Distance, now time.Duration) []Candidate {
	var nearest []Candidate
	for _, candidate := range candidates {
		if candidate.Distance < least || delegator.resting[candidate.Address].until > now || slices.Contains(tried, candidate.Address) {
			continue
		}
		if len(nearest) > 0 && candidate.Distance < nearest[0].Distance {
			nearest = nearest[:0]
		}
		if len(nearest) == 0 || candidate.Distance == nearest[0].Distance {
			nearest = append(nearest, candidate)
		}
	}
	return nearest
}
