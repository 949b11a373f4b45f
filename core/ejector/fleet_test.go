package ejector_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/ejector"
	"godwitramp.example/core/router"
	"godwitramp.example/core/timekeeper"
)

// The fleet of both sites: 40 VMs and 12 targets in three regions with two data
// centres each.
const (
	vms               = 40
	regions           = 3
	targets           = 12
	requestsPerSecond = 100
	medianLatency     = 20 * time.Millisecond
	latencySigma      = 0.5 // standard deviation of the logarithm
	callTimeout       = 2 * time.Second
	coalesceDelay     = 50 * time.Millisecond
	flushPeriod       = time.Second
	networkDelay      = 8 * time.Millisecond
	faultStart        = 2 * time.Minute
)

// event runs at a time; events at the same time run in the order of sequence.
type event struct {
	at       time.Duration
	sequence int
	run      func()
}

type eventQueue []event

func (eventQueue eventQueue) Len() int { return len(eventQueue) }
func (eventQueue eventQueue) Less(i, j int) bool {
	return eventQueue[i].at < eventQueue[j].at || eventQueue[i].at == eventQueue[j].at && eventQueue[i].sequence < eventQueue[j].sequence
}
func (eventQueue eventQueue) Swap(i, j int) {
	eventQueue[i], eventQueue[j] = eventQueue[j], eventQueue[i]
}
func (eventQueue *eventQueue) Push(x any) { *eventQueue = append(*eventQueue, x.(event)) }
func (eventQueue *eventQueue) Pop() any {
	last := (*eventQueue)[len(*eventQueue)-1]
	*eventQueue = (*eventQueue)[:len(*eventQueue)-1]
	return last
}

// fault is a fault of target 0. Its times count from the start of the fault.
type fault struct {
	name      string
	errors    func(since time.Duration) float64
	slowness  float64
	silent    bool
	partition bool // VM 0 alone loses every request to target 0
}

func constantShare(share float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return share }
}

// member is one VM of the fleet.
type member struct {
	locality       router.Locality
	router         *router.Router
	view           ejector.View
	tallies        map[configurator.Path]*ejector.Tally
	flushScheduled bool
	// consecutiveFailures is the only evidence of the baseline.
	consecutiveFailures map[configurator.Path]int
}

// fleet is a discrete-event simulation of all VMs.
type fleet struct {
	random     *rand.Rand
	now        time.Duration
	eventQueue eventQueue
	events     int
	service    *configurator.ServiceTargets
	members    []*member
	stewards   [][]*ejector.Steward // by region
	noise      float64
	fault      fault
	baseline   bool

	ejections, requests, bad int
	maxEjected               int // maximum of targets of one region ejected at the same time
}

func newFleet(seed uint64, slots int, noise float64, fault fault, baseline bool) *fleet {
	fleet := &fleet{random: rand.New(rand.NewPCG(seed, 1)), noise: noise, fault: fault, baseline: baseline}
	fleet.service = declare(0.5, targets)
	for i := range fleet.service.Targets {
		target := &fleet.service.Targets[i]
		target.Region = fmt.Sprint("r", i%regions)
		target.DataCentre = fmt.Sprint(target.Region, "-", i/regions%2)
		target.Slots = slots
	}
	for i := range vms {
		region := fmt.Sprint("r", i%regions)
		member := &member{locality: router.Locality{Region: region, DataCentre: fmt.Sprint(region, "-", i/regions%2)}, consecutiveFailures: make(map[configurator.Path]int)}
		member.tallies = make(map[configurator.Path]*ejector.Tally)
		member.router = &router.Router{Locality: member.locality, Observer: observer{fleet, member, i}}
		fleet.members = append(fleet.members, member)
		fleet.every(flushPeriod, time.Duration(i)*flushPeriod/vms, func() { fleet.flush(i) })
	}
	for region := range regions {
		fleet.stewards = append(fleet.stewards, fleet.newStewards(region))
	}
	fleet.every(250*time.Millisecond, 0, fleet.decideAll)
	fleet.after(0, fleet.sendRequest)
	return fleet
}

// newStewards assigns the region's two permits to two VMs.
func (fleet *fleet) newStewards(region int) []*ejector.Steward {
	var stewards []*ejector.Steward
	for i := range 2 {
		group := ejector.Group{Service: fleet.service.Path, Region: fmt.Sprint("r", region)}
		permit := &ejector.Permit{ID: ejector.PermitID{Group: group, Index: i}, Holder: fmt.Sprint("vm", region+i*regions)}
		permit.Acquire(1, timekeeper.Lease{Duration: 1000 * time.Hour})
		steward := &ejector.Steward{Group: group}
		steward.Configure(fleet.service, 0)
		steward.AddPermit(permit)
		stewards = append(stewards, steward)
		fleet.broadcast(permit.Statement(timekeeper.At(0)))
	}
	return stewards
}

func (fleet *fleet) after(wait time.Duration, run func()) {
	fleet.events++
	heap.Push(&fleet.eventQueue, event{at: fleet.now + wait, sequence: fleet.events, run: run})
}

func (fleet *fleet) every(period, first time.Duration, run func()) {
	fleet.after(first, func() { run(); fleet.every(period, period, run) })
}

func (fleet *fleet) run(until time.Duration) {
	for fleet.eventQueue[0].at <= until {
		next := heap.Pop(&fleet.eventQueue).(event)
		fleet.now = next.at
		next.run()
	}
}

// sendRequest sends one request and schedules the next one.
func (fleet *fleet) sendRequest() {
	fleet.after(time.Duration(fleet.random.ExpFloat64()/requestsPerSecond*float64(time.Second)), fleet.sendRequest)
	index := fleet.random.IntN(vms)
	member := fleet.members[index]
	info := router.PickInfo{Service: fleet.service, Now: fleet.now}
	for path, failures := range member.consecutiveFailures {
		if failures >= 5 {
			info.Tried = append(info.Tried, path)
		}
	}
	target, ok := member.router.Pick(info, fleet.random)
	if !ok {
		return
	}
	latency := time.Duration(float64(medianLatency) * math.Exp(latencySigma*fleet.random.NormFloat64()))
	result := router.Result{Target: target.Path, Kind: router.Good, FreshConnection: true}
	if fleet.random.Float64() < fleet.noise {
		result.Kind = router.Failed
	}
	faulty := fleet.now >= faultStart && target.Path == targetPath(0)
	if faulty {
		latency = fleet.applyFault(&result, latency, index)
	}
	result.Latency = latency
	if fleet.now >= faultStart {
		fleet.requests++
		if faulty && (result.Kind != router.Good || fleet.fault.slowness > 1) {
			fleet.bad++
		}
	}
	threshold := member.router.SlowThreshold(fleet.service.Path)
	if threshold < latency && !fleet.baseline {
		fleet.after(threshold, func() { result.ReportedSlow = member.router.ReportPending(target.Path, threshold, true, fleet.now) })
	}
	fleet.after(latency, func() { fleet.complete(member, result) })
}

// applyFault applies the fault to one attempt.
func (fleet *fleet) applyFault(result *router.Result, latency time.Duration, vm int) time.Duration {
	if fleet.fault.errors != nil && fleet.random.Float64() < fleet.fault.errors(fleet.now-faultStart) {
		result.Kind = router.Failed
	}
	if fleet.fault.silent || fleet.fault.partition && vm == 0 {
		result.Kind = router.TimedOut
		return callTimeout
	}
	return time.Duration(float64(latency) * max(1, fleet.fault.slowness))
}

func (fleet *fleet) complete(member *member, result router.Result) {
	if fleet.baseline {
		if member.consecutiveFailures[result.Target]++; result.Kind == router.Good {
			member.consecutiveFailures[result.Target] = 0
		}
		result.Kind = router.Cancelled // keeps all other evidence from the baseline
	}
	member.router.Done(result, fleet.now)
}

// observer collects the evidence of a VM about targets.
type observer struct {
	fleet  *fleet
	member *member
	index  int
}

func (observer observer) Observe(observation ejector.Observation) {
	tally := observer.member.tallies[observation.Target]
	if tally == nil {
		tally = &ejector.Tally{Target: observation.Target}
		observer.member.tallies[observation.Target] = tally
	}
	switch observation.Kind {
	case ejector.Good:
		tally.Good++
		return
	case ejector.Slow:
		tally.Slow++
	case ejector.Bad:
		tally.Bad++
	}
	if !observer.member.flushScheduled {
		observer.member.flushScheduled = true
		observer.fleet.after(coalesceDelay, func() { observer.fleet.flush(observer.index) })
	}
}

// flush sends a VM's evidence about its own region to the stewards of the region.
func (fleet *fleet) flush(index int) {
	member := fleet.members[index]
	member.flushScheduled = false
	batch := ejector.Batch{VM: fmt.Sprint("vm", index), DataCentre: member.locality.DataCentre}
	for _, target := range fleet.service.Targets {
		if tally := member.tallies[target.Path]; tally != nil && target.Region == member.locality.Region {
			batch.Tallies = append(batch.Tallies, *tally)
		}
	}
	clear(member.tallies)
	if len(batch.Tallies) == 0 {
		return
	}
	fleet.after(networkDelay, func() {
		for i, steward := range fleet.stewards[index%regions] {
			steward.Detector.Add(batch, fleet.now)
			fleet.decide(index%regions, i)
		}
	})
}

func (fleet *fleet) decide(region, i int) {
	holder := fleet.members[region+i*regions]
	for _, statement := range fleet.stewards[region][i].Decide(ejector.GroupState{View: &holder.view}, timekeeper.At(fleet.now)) {
		if statement.Target != "" && statement.Left == ejector.EjectionLease && !slices.ContainsFunc(holder.active(fleet, region), func(o ejector.ActiveEjection) bool { return o.Target == statement.Target }) {
			fleet.ejections++
		}
		holder.view.Apply(statement, timekeeper.At(fleet.now))
		fleet.broadcast(statement)
	}
}

func (member *member) active(fleet *fleet, region int) []ejector.ActiveEjection {
	return member.view.ActiveEjections(fleet.service, fmt.Sprint("r", region), 0, timekeeper.At(fleet.now))
}

// broadcast delivers a statement to every VM within three rounds of notice and pull.
func (fleet *fleet) broadcast(statement ejector.Statement) {
	for _, member := range fleet.members {
		rounds := time.Duration(1 + fleet.random.IntN(3))
		fleet.after(2*networkDelay*rounds, func() {
			member.view.Apply(statement, timekeeper.At(fleet.now-networkDelay))
			fleet.applyEjections(member)
		})
	}
}

// applyEjections passes the active ejections of a VM to its router.
func (fleet *fleet) applyEjections(member *member) {
	var ejections []router.Ejection
	for region := range regions {
		active := member.active(fleet, region)
		fleet.maxEjected = max(fleet.maxEjected, len(active))
		for _, one := range active {
			ejections = append(ejections, router.Ejection{Target: one.Target, Until: fleet.now + one.Left})
		}
	}
	member.router.SetEjections(fleet.service, ejections, fleet.now)
}

// decideAll runs the stewards without new evidence.
func (fleet *fleet) decideAll() {
	for region, stewards := range fleet.stewards {
		for i := range stewards {
			fleet.decide(region, i)
		}
	}
}
