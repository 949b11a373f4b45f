package lender_test

import (
	"container/heap"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"godwitramp.example/core/lender"
	"godwitramp.example/core/limiter"
	"godwitramp.example/core/timekeeper"
)

// event is a function to run at a virtual time.
type event struct {
	at    time.Duration
	order uint64
	run   func()
}

// events is a heap of events, ordered by time and then by creation.
type events []event

func (events events) Len() int { return len(events) }
func (events events) Less(i, j int) bool {
	return events[i].at < events[j].at || events[i].at == events[j].at && events[i].order < events[j].order
}
func (events events) Swap(i, j int) { events[i], events[j] = events[j], events[i] }

// Push adds an event.
func (events *events) Push(x any) { *events = append(*events, x.(event)) }

// Pop removes the last event.
func (events *events) Pop() any {
	last := (*events)[len(*events)-1]
	*events = (*events)[:len(*events)-1]
	return last
}

const (
	callTimeout = time.Second
	waitTimeout = 200 * time.Millisecond
	viewLag     = 3 * time.Second
)

// faults are those of the network.
type faults struct {
	loss, duplicate, delayed float64 // probabilities
	maxDelay                 time.Duration
}

// fleet simulates several VMs in virtual time, without their shells.
type fleet struct {
	now    time.Duration
	tick   time.Duration
	queue  events
	order  uint64
	random *rand.Rand
	faults faults
	vms    []*VM
	rows   map[lender.Part]lender.Row
	outage bool
	// loseAnswers makes the store lose the answers of writes that took effect.
	loseAnswers   bool
	organisations []*organisation
	// decided is called with the decision on each request.
	decided func(organisation *organisation, request request, allowed bool)

	messages, entries, writes int
}

// organisation is one of the simulated organisations.
type organisation struct {
	id    limiter.ID
	limit limiter.Limit
	// bucket is the ideal one, for the whole fleet.
	bucket limiter.Bucket
}

// request is one request; ideal says whether one bucket for the whole fleet would
// admit it.
type request struct {
	vm    int
	ideal bool
	at    time.Duration
}

// VM is one VM of the fleet. Its clocks differ from the virtual time.
type VM struct {
	fleet       *fleet
	index       int
	name        string
	incarnation uint64
	boot        string
	monoOffset  time.Duration
	wallOffset  time.Duration
	pausedUntil time.Duration
	dead        bool
	diedAt      time.Duration
	startedAt   time.Duration
	leaving     bool

	holder    *lender.Holder
	collector *lender.Collector
	borrower  *limiter.Borrower
	claimer   lender.Claimer
	limits    map[limiter.ID]limiter.Limit
	waiters   map[limiter.ID][]waiter
	offeredAt time.Duration
	claimedAt time.Duration
	// collectors are the VMs that may be collectors, in this VM's latest view.
	collectors []*VM
	names      []string
	viewedAt   time.Duration
}

type waiter struct {
	organisation *organisation
	request      request
}

func newFleet(vms int, organisations []*organisation, seed uint64) *fleet {
	fleet := &fleet{
		now: time.Hour, tick: 100 * time.Millisecond, random: rand.New(rand.NewPCG(seed, 1)), rows: make(map[lender.Part]lender.Row), organisations: organisations,
		decided: func(*organisation, request, bool) {},
	}
	for i := range vms {
		fleet.vms = append(fleet.vms, &VM{fleet: fleet, index: i, name: fmt.Sprintf("vm-%02d", i), boot: "first"})
	}
	for _, vm := range fleet.vms {
		vm.start()
	}
	return fleet
}

func (fleet *fleet) after(delay time.Duration, run func()) {
	fleet.order++
	heap.Push(&fleet.queue, event{at: fleet.now + delay, order: fleet.order, run: run})
}

func (fleet *fleet) runUntil(end time.Duration) {
	for len(fleet.queue) > 0 && fleet.queue[0].at <= end {
		next := heap.Pop(&fleet.queue).(event)
		fleet.now = next.at
		next.run()
	}
	fleet.now = end
}

// start starts a new incarnation of the VM with empty state.
func (vm *VM) start() {
	vm.incarnation++
	vm.dead, vm.leaving = false, false
	vm.startedAt = vm.fleet.now
	vm.holder = lender.NewHolder()
	vm.collector = lender.NewCollector(vm.id())
	vm.borrower = limiter.NewBorrower()
	vm.claimer = lender.Claimer{Self: lender.Owner{Name: vm.name, Address: vm.name, Boot: vm.boot, Incarnation: vm.incarnation}}
	vm.limits = make(map[limiter.ID]limiter.Limit)
	for _, organisation := range vm.fleet.organisations {
		vm.limits[organisation.id] = organisation.limit
	}
	vm.waiters = make(map[limiter.ID][]waiter)
	vm.offeredAt, vm.claimedAt = 0, 0
	vm.tick(vm.incarnation)
}

func (vm *VM) id() string { return fmt.Sprintf("%s/%d", vm.name, vm.incarnation) }

// leave begins a planned stop.
func (vm *VM) leave() {
	vm.leaving = true
	vm.collector.Leave()
}

func (vm *VM) kill() {
	vm.dead = true
	vm.diedAt = vm.fleet.now
}

// clocks reads the VM's clocks.
func (vm *VM) clocks() timekeeper.Reading {
	// Half of the VMs' clocks run too fast, half too slowly.
	drift := time.Duration(float64(vm.fleet.now-vm.startedAt) * clockDrift * float64(vm.index%2*2-1))
	return timekeeper.Reading{Mono: vm.fleet.now + vm.monoOffset + drift, Wall: vm.fleet.now + vm.wallOffset + drift}
}

// pause stops the VM for a while. If it is suspended, its monotonic clock stands still
// during the pause.
func (vm *VM) pause(length time.Duration, suspended bool) {
	vm.pausedUntil = max(vm.pausedUntil, vm.fleet.now+length)
	if suspended {
		vm.monoOffset -= length
	}
}

// view returns the other VMs that this one takes to be alive; it learns of a death
// after viewLag.
func (vm *VM) view() []*VM {
	var view []*VM
	for _, other := range vm.fleet.vms {
		fresh := other.dead && vm.fleet.now-other.diedAt < viewLag
		if other != vm && !other.leaving && (!other.dead || fresh) {
			view = append(view, other)
		}
	}
	return view
}

// collectorOf returns the collector of a shard by this VM's view.
func (vm *VM) collectorOf(shard limiter.Shard) *VM {
	if vm.fleet.now-vm.viewedAt >= vm.fleet.tick || vm.names == nil {
		vm.viewedAt = vm.fleet.now
		vm.collectors = append(vm.view(), vm)
		if vm.leaving && len(vm.collectors) > 1 {
			vm.collectors = vm.collectors[:len(vm.collectors)-1]
		}
		vm.names = nil
		for _, other := range vm.collectors {
			vm.names = append(vm.names, other.name)
		}
	}
	return vm.collectors[lender.CollectorIndex(shard, vm.names)]
}

// call sends a request, which runs handle on the other VM. The function that handle
// returns runs on the answer's arrival, failed after callTimeout in any case.
func (vm *VM) call(to *VM, entries int, handle func() func(), failed func()) {
	fleet, from, target := vm.fleet, vm.incarnation, to.incarnation
	fleet.messages++
	fleet.entries += entries
	// An answer may arrive twice, or after the timeout.
	answered := func(reply func()) func() {
		return func() { vm.deliver(from, reply) }
	}
	fleet.send(vm, to, func() {
		to.deliver(target, func() {
			reply := handle()
			fleet.send(to, vm, answered(reply))
		})
	})
	fleet.after(callTimeout, answered(failed))
}

// deliver calls run on the VM once it isn't paused, unless that incarnation has
// ended.
func (vm *VM) deliver(incarnation uint64, run func()) {
	if vm.dead || vm.incarnation != incarnation {
		return
	}
	if vm.pausedUntil > vm.fleet.now {
		vm.fleet.after(vm.pausedUntil-vm.fleet.now, func() { vm.deliver(incarnation, run) })
		return
	}
	run()
}

// send delivers a message; network faults lose, duplicate or delay it.
func (fleet *fleet) send(from, to *VM, run func()) {
	if from == to {
		run()
		return
	}
	copies := 1
	if fleet.random.Float64() < fleet.faults.loss {
		copies = 0
	} else if fleet.random.Float64() < fleet.faults.duplicate {
		copies = 2
	}
	for range copies {
		delay := 500*time.Microsecond + time.Duration(fleet.random.Int64N(int64(8*time.Millisecond)))
		if fleet.random.Float64() < fleet.faults.delayed {
			delay += time.Duration(fleet.random.Int64N(int64(fleet.faults.maxDelay)))
		}
		fleet.after(delay, run)
	}
}

// tick does a VM's periodic work and schedules the next tick.
func (vm *VM) tick(incarnation uint64) {
	vm.deliver(incarnation, func() {
		now := vm.clocks()
		vm.holder.Expire(now)
		if vm.claimedAt == 0 || now.Mono-vm.claimedAt >= lender.ClaimPeriod {
			vm.claimedAt = now.Mono
			vm.claim()
		}
		if now.Mono-vm.offeredAt >= lender.OfferPeriod {
			vm.offeredAt = now.Mono
			vm.offer()
		}
		vm.ask()
		vm.fleet.after(vm.fleet.tick, func() { vm.tick(incarnation) })
	})
}

// shards returns the shards that have organisations.
func (fleet *fleet) shards() []limiter.Shard {
	shards := make(map[limiter.Shard]bool)
	for _, organisation := range fleet.organisations {
		shards[organisation.id.Shard()] = true
	}
	return slices.Sorted(maps.Keys(shards))
}

// claim claims the parts that fall to this VM and renews old leases.
func (vm *VM) claim() {
	fleet := vm.fleet
	if fleet.outage || vm.leaving {
		return
	}
	var others []string
	for _, other := range vm.view() {
		others = append(others, other.name)
	}
	for _, shard := range fleet.shards() {
		var rows []lender.Row
		for index := range lender.Parts {
			if row, ok := fleet.rows[lender.Part{Shard: shard, Index: index}]; ok {
				rows = append(rows, row)
			}
		}
		start := vm.clocks()
		for _, claim := range vm.claimer.Claims(shard, rows, lender.PositionOf(shard, vm.name, others), start) {
			if _, held := vm.holder.Lease(claim.Part); !held && vm.write(claim.Part) {
				vm.holder.Hold(claim.Part, timekeeper.Lease{Start: start, Duration: lender.PartLeaseDuration}, claim.Free, start)
			}
		}
	}
	for _, part := range vm.holder.DueForRenewal(vm.clocks()) {
		start := vm.clocks()
		if fleet.rows[part].Owner == vm.claimer.Self && vm.write(part) {
			vm.holder.Renew(part, timekeeper.Lease{Start: start, Duration: lender.PartLeaseDuration})
		}
	}
}

// write stores the VM as the owner of a part. It reports false if the answer is lost.
func (vm *VM) write(part lender.Part) bool {
	fleet := vm.fleet
	fleet.writes++
	fleet.rows[part] = lender.Row{Part: part, Version: fleet.rows[part].Version + 1, Owner: vm.claimer.Self}
	return !fleet.loseAnswers
}

// offer renews the sub-leases of the collectors and recalls those of former ones.
func (vm *VM) offer() {
	now := vm.clocks()
	groups := make(map[*VM][]limiter.Shard)
	for _, shard := range vm.holder.Shards() {
		collector := vm.collectorOf(shard)
		groups[collector] = append(groups[collector], shard)
	}
	for _, to := range vm.fleet.vms {
		if shards := groups[to]; len(shards) > 0 {
			vm.sendOffers(to, to.id(), vm.holder.Offers(shards, to.id(), now))
			recalls := vm.holder.Recalls(shards, to.id(), now)
			for _, former := range vm.fleet.vms {
				if offers := recalls[former.id()]; len(offers) > 0 && !former.dead {
					vm.sendOffers(former, former.id(), offers)
				}
			}
		}
	}
}

func (vm *VM) sendOffers(to *VM, addressed string, offers []lender.Offer) {
	holder := vm.id()
	vm.call(to, len(offers), func() func() {
		reply := to.collector.HandleOffers(holder, addressed, offers, to.clocks())
		return func() { vm.holder.HandleReply(offers, reply, vm.clocks()) }
	}, func() {})
}

// ask sends the asks that are due.
func (vm *VM) ask() {
	groups := make(map[*VM][]limiter.Ask)
	asks := vm.borrower.Asks(vm.clocks())
	slices.SortFunc(asks, func(a, b limiter.Ask) int { return int(a.Sequence) - int(b.Sequence) })
	for _, ask := range asks {
		collector := vm.collectorOf(ask.ID.Shard())
		groups[collector] = append(groups[collector], ask)
	}
	for _, to := range vm.fleet.vms {
		if asks := groups[to]; len(asks) > 0 {
			vm.sendAsks(to, asks)
		}
	}
}

func (vm *VM) sendAsks(to *VM, asks []limiter.Ask) {
	sent, borrower := vm.clocks(), vm.id()
	vm.call(to, len(asks), func() func() {
		grants := to.collector.Lend(borrower, asks, to.clocks())
		collector := to.collector.Incarnation
		return func() { vm.decide(vm.borrower.Apply(collector, sent, grants, vm.clocks())) }
	}, func() { vm.decide(vm.borrower.Fail(asks, vm.clocks())) })
}

// decide retries the requests that wait for these organisations.
func (vm *VM) decide(ids []limiter.ID) {
	for _, id := range ids {
		waiting := vm.waiters[id]
		vm.waiters[id] = nil
		for _, waiter := range waiting {
			verdict := vm.borrower.Retry(id, vm.clocks())
			if verdict.Wait && vm.fleet.now-waiter.request.at < waitTimeout {
				vm.waiters[id] = append(vm.waiters[id], waiter)
				continue
			}
			if verdict.Wait {
				vm.borrower.Abandon(id, 1)
			}
			vm.finish(waiter, verdict)
		}
	}
	if len(ids) > 0 && vm.borrower.HasPending() {
		vm.ask()
	}
}

// finish reports the decision on a request that waited, after its delay if any.
func (vm *VM) finish(waiter waiter, verdict limiter.Verdict) {
	if verdict.Delay == 0 {
		vm.fleet.decided(waiter.organisation, waiter.request, verdict.Allowed)
		return
	}
	incarnation := vm.incarnation
	vm.fleet.after(verdict.Delay, func() {
		vm.deliver(incarnation, func() {
			vm.fleet.decided(waiter.organisation, waiter.request, !verdict.TokenLease.Lapsed(vm.clocks()))
		})
	})
}

// arrive sends a request to a VM; a dead VM ignores it.
func (fleet *fleet) arrive(vm *VM, organisation *organisation) {
	if vm.dead {
		return
	}
	vm.deliver(vm.incarnation, func() {
		request := request{vm: vm.index, ideal: organisation.bucket.Take(fleet.now, 1), at: fleet.now}
		verdict := vm.borrower.Take(organisation.id, vm.limits[organisation.id], vm.clocks())
		if !verdict.Wait {
			fleet.decided(organisation, request, verdict.Allowed)
			return
		}
		vm.waiters[organisation.id] = append(vm.waiters[organisation.id], waiter{organisation, request})
		vm.ask()
	})
}
