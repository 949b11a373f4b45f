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

// The fleet of both users: 40 VMs and 12 targets over three regions with two
// data centres each.
const (
	vms           = 40
	regions       = 3
	targets       = 12
	perSecond     = 100
	usualLatency  = 20 * time.Millisecond
	latencySpread = 0.5 // of the logarithm
	callTimeout   = 2 * time.Second
	coalesce      = 50 * time.Millisecond
	goodPeriod    = time.Second
	acrossFleet   = 8 * time.Millisecond
	faultStart    = 2 * time.Minute
)

// event happens at a time; events of one time happen in the order of number.
type event struct {
	at     time.Duration
	number int
	run    func()
}

type agenda []event

func (agenda agenda) Len() int { return len(agenda) }
func (agenda agenda) Less(i, j int) bool {
	return agenda[i].at < agenda[j].at || agenda[i].at == agenda[j].at && agenda[i].number < agenda[j].number
}
func (agenda agenda) Swap(i, j int) { agenda[i], agenda[j] = agenda[j], agenda[i] }
func (agenda *agenda) Push(x any)   { *agenda = append(*agenda, x.(event)) }
func (agenda *agenda) Pop() any {
	last := (*agenda)[len(*agenda)-1]
	*agenda = (*agenda)[:len(*agenda)-1]
	return last
}

// fault is what goes wrong at target 0, by the time since its start.
type fault struct {
	name      string
	errors    func(since time.Duration) float64
	slowness  float64
	silent    bool
	partition bool // VM 0 alone loses every request to target 0
}

func always(share float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return share }
}

// node is one VM.
type node struct {
	place   router.Place
	router  *router.Router
	view    ejector.View
	tallies map[configurator.Path]*ejector.Tally
	flushes bool
	// streaks are the failures in a row of the baseline.
	streaks map[configurator.Path]int
}

// fleet is the whole of VMs, with time that passes by events.
type fleet struct {
	random   *rand.Rand
	now      time.Duration
	agenda   agenda
	events   int
	service  *configurator.ServiceTargets
	nodes    []*node
	stewards [][]*ejector.Steward // of each region
	noise    float64
	fault    fault
	baseline bool

	ejections, requests, bad int
	most                     int // targets of one region out at a time
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
		node := &node{place: router.Place{Region: region, DataCentre: fmt.Sprint(region, "-", i/regions%2)}, streaks: make(map[configurator.Path]int)}
		node.tallies = make(map[configurator.Path]*ejector.Tally)
		node.router = &router.Router{Place: node.place, Observer: observer{fleet, node, i}}
		fleet.nodes = append(fleet.nodes, node)
		fleet.every(goodPeriod, time.Duration(i)*goodPeriod/vms, func() { fleet.flush(i) })
	}
	for region := range regions {
		fleet.stewards = append(fleet.stewards, fleet.hire(region))
	}
	fleet.every(250*time.Millisecond, 0, fleet.check)
	fleet.after(0, fleet.arrive)
	return fleet
}

// hire gives the region's two permits to two VMs.
func (fleet *fleet) hire(region int) []*ejector.Steward {
	var stewards []*ejector.Steward
	for i := range 2 {
		group := ejector.Group{Service: fleet.service.Path, Region: fmt.Sprint("r", region)}
		permit := &ejector.Permit{ID: ejector.PermitID{Group: group, Index: i}, Holder: fmt.Sprint("vm", region+i*regions)}
		permit.Take(1, timekeeper.Lease{Duration: 1000 * time.Hour})
		steward := &ejector.Steward{Group: group}
		steward.Follow(fleet.service, 0)
		steward.Hold(permit)
		stewards = append(stewards, steward)
		fleet.spread(permit.Statement(timekeeper.At(0)))
	}
	return stewards
}

func (fleet *fleet) after(wait time.Duration, run func()) {
	fleet.events++
	heap.Push(&fleet.agenda, event{at: fleet.now + wait, number: fleet.events, run: run})
}

func (fleet *fleet) every(period, first time.Duration, run func()) {
	fleet.after(first, func() { run(); fleet.every(period, period, run) })
}

func (fleet *fleet) run(until time.Duration) {
	for fleet.agenda[0].at <= until {
		next := heap.Pop(&fleet.agenda).(event)
		fleet.now = next.at
		next.run()
	}
}

// arrive sends one request and plans the next one.
func (fleet *fleet) arrive() {
	fleet.after(time.Duration(fleet.random.ExpFloat64()/perSecond*float64(time.Second)), fleet.arrive)
	number := fleet.random.IntN(vms)
	node := fleet.nodes[number]
	ask := router.Ask{Service: fleet.service, Now: fleet.now}
	for path, streak := range node.streaks {
		if streak >= 5 {
			ask.Tried = append(ask.Tried, path)
		}
	}
	target, ok := node.router.Pick(ask, fleet.random)
	if !ok {
		return
	}
	latency := time.Duration(float64(usualLatency) * math.Exp(latencySpread*fleet.random.NormFloat64()))
	result := router.Result{Target: target.Path, Kind: router.Good, FreshConnection: true}
	if fleet.random.Float64() < fleet.noise {
		result.Kind = router.Failed
	}
	faulty := fleet.now >= faultStart && target.Path == targetPath(0)
	if faulty {
		latency = fleet.spoil(&result, latency, number)
	}
	result.Latency = latency
	if fleet.now >= faultStart {
		fleet.requests++
		if faulty && (result.Kind != router.Good || fleet.fault.slowness > 1) {
			fleet.bad++
		}
	}
	patience := node.router.Patience(fleet.service.Path)
	if patience < latency && !fleet.baseline {
		fleet.after(patience, func() { result.Waited = node.router.Waiting(target.Path, patience, true, fleet.now) })
	}
	fleet.after(latency, func() { fleet.finish(node, result) })
}

// spoil applies the fault to one attempt.
func (fleet *fleet) spoil(result *router.Result, latency time.Duration, vm int) time.Duration {
	if fleet.fault.errors != nil && fleet.random.Float64() < fleet.fault.errors(fleet.now-faultStart) {
		result.Kind = router.Failed
	}
	if fleet.fault.silent || fleet.fault.partition && vm == 0 {
		result.Kind = router.TimedOut
		return callTimeout
	}
	return time.Duration(float64(latency) * max(1, fleet.fault.slowness))
}

func (fleet *fleet) finish(node *node, result router.Result) {
	if fleet.baseline {
		if node.streaks[result.Target]++; result.Kind == router.Good {
			node.streaks[result.Target] = 0
		}
		result.Kind = router.Cancelled // the baseline has no other evidence
	}
	node.router.Done(result, fleet.now)
}

// observer collects the evidence of a VM about its own region.
type observer struct {
	fleet  *fleet
	node   *node
	number int
}

func (observer observer) Observe(observation ejector.Observation) {
	tally := observer.node.tallies[observation.Target]
	if tally == nil {
		tally = &ejector.Tally{Target: observation.Target}
		observer.node.tallies[observation.Target] = tally
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
	if !observer.node.flushes {
		observer.node.flushes = true
		observer.fleet.after(coalesce, func() { observer.fleet.flush(observer.number) })
	}
}

// flush sends the evidence of a VM to the stewards of its region.
func (fleet *fleet) flush(number int) {
	node := fleet.nodes[number]
	node.flushes = false
	batch := ejector.Batch{VM: fmt.Sprint("vm", number), DataCentre: node.place.DataCentre}
	for _, target := range fleet.service.Targets {
		if tally := node.tallies[target.Path]; tally != nil && target.Region == node.place.Region {
			batch.Tallies = append(batch.Tallies, *tally)
		}
	}
	clear(node.tallies)
	if len(batch.Tallies) == 0 {
		return
	}
	fleet.after(acrossFleet, func() {
		for i, steward := range fleet.stewards[number%regions] {
			steward.Detector.Add(batch, fleet.now)
			fleet.decide(number%regions, i)
		}
	})
}

func (fleet *fleet) decide(region, i int) {
	holder := fleet.nodes[region+i*regions]
	for _, statement := range fleet.stewards[region][i].Decide(ejector.Condition{View: &holder.view}, timekeeper.At(fleet.now)) {
		if statement.Target != "" && statement.Left == ejector.EjectionLease && !slices.ContainsFunc(holder.obeyed(fleet, region), func(o ejector.Obeyed) bool { return o.Target == statement.Target }) {
			fleet.ejections++
		}
		holder.view.Take(statement, timekeeper.At(fleet.now))
		fleet.spread(statement)
	}
}

func (node *node) obeyed(fleet *fleet, region int) []ejector.Obeyed {
	return node.view.Obeyed(fleet.service, fmt.Sprint("r", region), 0, timekeeper.At(fleet.now))
}

// spread tells every VM within three rounds of notice and pull.
func (fleet *fleet) spread(statement ejector.Statement) {
	for _, node := range fleet.nodes {
		rounds := time.Duration(1 + fleet.random.IntN(3))
		fleet.after(2*acrossFleet*rounds, func() {
			node.view.Take(statement, timekeeper.At(fleet.now-acrossFleet))
			fleet.obey(node)
		})
	}
}

// obey passes the view of a VM to its router.
func (fleet *fleet) obey(node *node) {
	var ejections []router.Ejection
	for region := range regions {
		obeyed := node.obeyed(fleet, region)
		fleet.most = max(fleet.most, len(obeyed))
		for _, one := range obeyed {
			ejections = append(ejections, router.Ejection{Target: one.Target, Until: fleet.now + one.Left})
		}
	}
	node.router.Eject(fleet.service, ejections, fleet.now)
}

// check lets the stewards decide without new evidence.
func (fleet *fleet) check() {
	for region, stewards := range fleet.stewards {
		for i := range stewards {
			fleet.decide(region, i)
		}
	}
}
