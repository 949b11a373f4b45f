// Package router picks the target that an attempt is sent to.
//
// A Router prefers targets in its own data centre, then in its region, then in
// other regions if the spillover limit allows. Within each of these tiers it
// compares two random targets by the requests in flight, the latency, recent shed
// answers and the load that the targets report. No signal decides alone, since the
// few slots of a target are shared by VMs that don't know of each other's requests.
// Targets that shed load, leave, are ejected or fail from this VM's point of view
// get no requests; new and returning ones get a share that ramps up.
//
// # Usage
//
//	router := &router.Router{Locality: locality, SpilloverLimit: limit, Observer: observer}
//	target, ok := router.Pick(router.PickInfo{Service: service, Tried: tried, Now: now}, random)
//	router.Done(router.Result{Target: target.Path, Kind: router.Good, Latency: latency}, now)
package router

import (
	"math/rand/v2"
	"sync"
	"time"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/ejector"
)

// Locality is the location of a VM.
type Locality struct {
	Region     string
	DataCentre string
}

// SpilloverLimit limits the requests sent to other regions, whose traffic costs money.
type SpilloverLimit interface {
	// MaySpill reports whether the team may send one more request from one
	// region to another. It is called with a lock held and must not block.
	MaySpill(team, from, to string) bool
}

// Observer receives the evidence that attempts give on the health of their targets.
// It is called without locks held.
type Observer interface {
	Observe(observation ejector.Observation)
}

// PickInfo describes the attempt that a target is picked for.
type PickInfo struct {
	Service *configurator.ServiceTargets
	// Tried are the targets that this request has already been sent to.
	Tried []configurator.Path
	// Now is the time since an arbitrary start, the same start for all calls.
	Now time.Duration
}

// ResultKind classifies the end of an attempt.
type ResultKind int

// The kinds of results.
const (
	// Good is a complete answer.
	Good ResultKind = iota
	// Failed is a status of 5xx that isn't a shed answer.
	Failed
	// Shed is a refusal by a target that has no free capacity.
	Shed
	// Cancelled is an attempt whose result is no longer needed.
	Cancelled
	// ConnectionLost is a connection that could not be made or broke.
	ConnectionLost
	// Truncated is an incomplete answer.
	Truncated
	// WrongAnswer is an answer to another request.
	WrongAnswer
	// TimedOut is an attempt that exceeded its timeout.
	TimedOut
	// Leaving is an answer of a target that accepts no new requests.
	Leaving
)

// Result is the outcome of an attempt.
type Result struct {
	Target configurator.Path
	Kind   ResultKind
	// Latency is the time until the answer began.
	Latency time.Duration
	// RetryAfter is the pause that a target asked for when it shed the request, 0 if
	// it asked for none.
	RetryAfter time.Duration
	// FreshConnection is true if the attempt was the first on its connection.
	FreshConnection bool
	// ReportedSlow is true if ReportPending has returned true for this attempt.
	ReportedSlow bool
}

// Router picks targets. It is safe for concurrent use: it locks one service at
// a time. Fields are set before the first call.
type Router struct {
	Locality Locality
	// SpilloverLimit applies to requests to other regions. If it is nil, none are sent
	// there.
	SpilloverLimit SpilloverLimit
	// Observer, if set, receives the evidence on targets.
	Observer Observer

	mutex    sync.RWMutex
	services map[configurator.Path]*service
}

// Pick returns a target for one attempt and counts the attempt as in flight until
// Done. It reports false if no target can take a request now.
func (router *Router) Pick(info PickInfo, random *rand.Rand) (configurator.Target, bool) {
	service := router.lockedService(info.Service, info.Now)
	defer service.mutex.Unlock()
	best := service.pick(info, random, router)
	if best == nil {
		return configurator.Target{}, false
	}
	best.inFlight++
	return best.declared, true
}

// service returns the state of the service, creating it if needed.
func (router *Router) service(path configurator.Path) *service {
	router.mutex.RLock()
	known := router.services[path]
	router.mutex.RUnlock()
	if known != nil {
		return known
	}
	router.mutex.Lock()
	defer router.mutex.Unlock()
	if router.services == nil {
		router.services = make(map[configurator.Path]*service)
	}
	if known = router.services[path]; known == nil {
		known = &service{targets: make(map[configurator.Path]*target)}
		router.services[path] = known
	}
	return known
}

// find returns the state of the service that a target belongs to, or nil.
func (router *Router) find(target configurator.Path) *service {
	router.mutex.RLock()
	defer router.mutex.RUnlock()
	return router.services[target.Parent()]
}

// Prune deletes the state of services that the table no longer contains.
func (router *Router) Prune(table *configurator.Table) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	for path := range router.services {
		if table.Service(path) == nil {
			delete(router.services, path)
		}
	}
}

// Done records the result of an attempt that Pick returned a target for.
func (router *Router) Done(result Result, now time.Duration) {
	service := router.find(result.Target)
	if service == nil {
		return
	}
	observation, counts := service.done(result, now)
	if counts && router.Observer != nil {
		router.Observer.Observe(observation)
	}
}

// SlowThreshold returns how long an attempt at the service may wait for its answer
// before ReportPending should be called for it.
func (router *Router) SlowThreshold(path configurator.Path) time.Duration {
	service := router.service(path)
	service.mutex.Lock()
	defer service.mutex.Unlock()
	return service.baseline.slowThreshold()
}

// ReportPending records that an attempt is still in flight after elapsed. It returns
// true if that counts as evidence against the target; the caller then sets
// ReportedSlow in the attempt's result. An attempt on a reused connection, where
// fresh is false, counts only when it ends, since the connection itself may be dead.
func (router *Router) ReportPending(target configurator.Path, elapsed time.Duration, fresh bool, now time.Duration) bool {
	service := router.find(target)
	if service == nil {
		return false
	}
	observation, counts := service.reportPending(target, elapsed, fresh, now)
	if counts && router.Observer != nil {
		router.Observer.Observe(observation)
	}
	return counts
}

// WaitTime returns the time until Pick may find a target of the service again, or 0
// if there is one now or no target is known.
func (router *Router) WaitTime(path configurator.Path, now time.Duration) time.Duration {
	service := router.service(path)
	service.mutex.Lock()
	defer service.mutex.Unlock()
	return service.waitTime(router.SpilloverLimit != nil, now)
}

// ReportLoad records the fraction of its slots that a target reports as busy.
func (router *Router) ReportLoad(path configurator.Path, busy float64, now time.Duration) {
	service := router.find(path)
	if service == nil {
		return
	}
	service.mutex.Lock()
	defer service.mutex.Unlock()
	if target := service.targets[path]; target != nil {
		target.reported = min(max(busy, 0), 1)
		target.reportedAt = now
	}
}

// MarkLeaving excludes a target that announced that it is leaving, until the given time.
func (router *Router) MarkLeaving(declared *configurator.ServiceTargets, path configurator.Path, until, now time.Duration) {
	service := router.lockedService(declared, now)
	defer service.mutex.Unlock()
	if target := service.targets[path]; target != nil {
		target.leaveUntil = max(target.leaveUntil, until)
	}
}

// Ejection excludes a target until the ejection's lease expires.
type Ejection struct {
	Target configurator.Path
	Until  time.Duration
}

// SetEjections replaces the fleet's ejections that apply to the service.
func (router *Router) SetEjections(declared *configurator.ServiceTargets, ejections []Ejection, now time.Duration) {
	service := router.lockedService(declared, now)
	defer service.mutex.Unlock()
	service.eject(ejections, now)
}

// lockedService updates the state of the service to the declaration and returns it
// with its mutex locked.
func (router *Router) lockedService(declared *configurator.ServiceTargets, now time.Duration) *service {
	service := router.service(declared.Path)
	service.mutex.Lock()
	service.update(declared, router.Locality, now)
	return service
}
