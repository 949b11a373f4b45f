// Package router picks the target that an attempt is sent to.
//
// A Router prefers targets in its own data centre, then in its region, then in
// other regions if the spill allows. Within one distance it compares two
// random targets by the requests in progress, the latency, shed answers and
// the load that the targets report; none of these decides alone, since a
// target's few slots are shared by VMs that don't know of each other's
// requests. Targets that shed, leave, are ejected or look broken from here get
// nothing; new ones and ones that come back get a rising share.
//
// # Usage
//
//	router := &router.Router{Place: place, Spill: spill, Observer: observer}
//	target, ok := router.Pick(router.Ask{Service: service, Tried: tried, Now: now}, random)
//	router.Done(router.Result{Target: target.Path, Kind: router.Good, Latency: latency}, now)
package router

import (
	"math/rand/v2"
	"sync"
	"time"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/ejector"
)

// Place is where a VM stands.
type Place struct {
	Region     string
	DataCentre string
}

// Spill bounds the paid traffic between regions.
type Spill interface {
	// MaySpill reports whether the team may send one more request from one
	// region to another. It is called with a lock held and must not block.
	MaySpill(team, from, to string) bool
}

// Observer takes what the attempts say of their targets. It is called without
// locks held.
type Observer interface {
	Observe(observation ejector.Observation)
}

// Ask says what a target is wanted for.
type Ask struct {
	Service *configurator.ServiceTargets
	// Tried are targets that this request has been sent to already.
	Tried []configurator.Path
	// Now is the time since an arbitrary start, the same for all calls.
	Now time.Duration
}

// ResultKind says how an attempt ended.
type ResultKind int

// The kinds of results.
const (
	// Good is a whole answer.
	Good ResultKind = iota
	// Failed is a status of 5xx that isn't a shed answer.
	Failed
	// Shed is an answer that says the target has no room.
	Shed
	// Cancelled is an attempt that nobody waits for any more.
	Cancelled
	// ConnectionLost is a connection that could not be made or broke.
	ConnectionLost
	// Truncated is an answer that ended early.
	Truncated
	// WrongAnswer is an answer to another request.
	WrongAnswer
	// TimedOut is an attempt whose time ran out.
	TimedOut
	// Leaving is an answer that says the target takes no new requests.
	Leaving
)

// Result is the end of an attempt.
type Result struct {
	Target configurator.Path
	Kind   ResultKind
	// Latency is the time until the answer began.
	Latency time.Duration
	// RetryAfter is how long a target that shed wants nothing, 0 if unsaid.
	RetryAfter time.Duration
	// FreshConnection is true if the attempt was the first on its connection.
	FreshConnection bool
	// Waited is true if Waiting has returned true for this attempt.
	Waited bool
}

// Router picks targets. It is safe for concurrent use: it locks one service at
// a time. Fields are set before the first call.
type Router struct {
	Place Place
	// Spill allows traffic to other regions; without it there is none.
	Spill Spill
	// Observer, if set, takes the evidence.
	Observer Observer

	mutex    sync.RWMutex
	services map[configurator.Path]*service
}

// Pick returns a target for one attempt and counts the attempt as in progress
// until Done. It reports false if no target can take a request now.
func (router *Router) Pick(ask Ask, random *rand.Rand) (configurator.Target, bool) {
	service := router.followed(ask.Service, ask.Now)
	defer service.mutex.Unlock()
	best := service.pick(ask, random, router)
	if best == nil {
		return configurator.Target{}, false
	}
	best.running++
	return best.declared, true
}

// service returns the state of the service and makes it if needed.
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

// Forget drops the state of services that the table no longer has.
func (router *Router) Forget(table *configurator.Table) {
	router.mutex.Lock()
	defer router.mutex.Unlock()
	for path := range router.services {
		if table.Service(path) == nil {
			delete(router.services, path)
		}
	}
}

// Done takes note that an attempt has ended.
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

// Patience returns how long an attempt at the service may last before Waiting
// should be called for it.
func (router *Router) Patience(path configurator.Path) time.Duration {
	service := router.service(path)
	service.mutex.Lock()
	defer service.mutex.Unlock()
	return service.baseline.patience()
}

// Waiting takes note that an attempt that is still in progress has lasted for
// sofar. It returns true if that counts as evidence against the target; the
// caller then sets Waited in the attempt's result. An attempt on a connection
// that was used before counts only when it ends, since the connection itself
// may have gone silent.
func (router *Router) Waiting(target configurator.Path, sofar time.Duration, fresh bool, now time.Duration) bool {
	service := router.find(target)
	if service == nil {
		return false
	}
	observation, counts := service.waiting(target, sofar, fresh, now)
	if counts && router.Observer != nil {
		router.Observer.Observe(observation)
	}
	return counts
}

// Wait returns how long it takes until Pick may find a target of the service
// again, and 0 if there is one now or none is known.
func (router *Router) Wait(path configurator.Path, now time.Duration) time.Duration {
	service := router.service(path)
	service.mutex.Lock()
	defer service.mutex.Unlock()
	return service.wait(router.Spill != nil, now)
}

// Load takes note of the share of its slots that a target reports as busy.
func (router *Router) Load(path configurator.Path, busy float64, now time.Duration) {
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

// Leave leaves out a target that says itself that it leaves, until the given
// time.
func (router *Router) Leave(declared *configurator.ServiceTargets, path configurator.Path, until, now time.Duration) {
	service := router.followed(declared, now)
	defer service.mutex.Unlock()
	if target := service.targets[path]; target != nil {
		target.leaveUntil = max(target.leaveUntil, until)
	}
}

// Ejection leaves a target out until its lease ends.
type Ejection struct {
	Target configurator.Path
	Until  time.Duration
}

// Eject replaces the ejections of the service that this VM obeys.
func (router *Router) Eject(declared *configurator.ServiceTargets, ejections []Ejection, now time.Duration) {
	service := router.followed(declared, now)
	defer service.mutex.Unlock()
	service.eject(ejections, now)
}

// followed returns the state of the service as declared, locked.
func (router *Router) followed(declared *configurator.ServiceTargets, now time.Duration) *service {
	service := router.service(declared.Path)
	service.mutex.Lock()
	service.follow(declared, router.Place, now)
	return service
}
