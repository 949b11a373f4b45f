// Package lender counts requests against rates that hold over the whole fleet:
// it claims parts in the table service, lends them to other VMs, and borrows
// from them.
//
// All decisions are made by the packages lender and limiter of the core. This
// package gives them the time, the rows of the table service and the messages
// of other VMs, and lets requests wait for an answer.
//
// Messages to one VM travel together: at most one call with asks is under way
// to each VM, and what comes up meanwhile goes with the next.
//
// # Usage
//
//	lender := &lender.Lender{Members: members, Caller: caller, Platform: platform, Tables: syncer, Log: log}
//	err := services.RegisterName(lender.ServiceName, lender.Service())
//	go lender.Run(ctx)
//	inside, retryAfter := lender.Admit(ctx, organisation)
package lender

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/lender"
	"godwitramp.example/core/limiter"
	"godwitramp.example/core/meter"
	"godwitramp.example/core/timekeeper"
	"godwitramp.example/core/watcher"
	"godwitramp.example/shell/connector"
)

const (
	callTimeout  = 500 * time.Millisecond
	claimTimeout = 5 * time.Second
	askPeriod    = 100 * time.Millisecond
	// longestWait bounds how long a request waits for a decision.
	longestWait = 400 * time.Millisecond
	// retryWhenUndecided is told to callers whose request got no decision.
	retryWhenUndecided = time.Second
)

// Tables gives the configuration in force.
type Tables interface {
	// Table returns nil before the first configuration is known.
	Table() *configurator.Table
	Revision() uint64
}

// Caller calls other VMs.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Lender is a VM's part in the fleet's rates. It is safe for concurrent use.
type Lender struct {
	Members  watcher.Members
	Caller   Caller
	Platform connector.Platform
	Tables   Tables
	// Boot names the start of the operating system; empty if unknown.
	Boot string
	// Now reads the clocks; those of the system unless set.
	Now func() timekeeper.Reading
	Log *logrus.Entry

	ready     sync.Once
	holder    *lender.Holder
	collector *lender.Collector
	claimer   lender.Claimer
	versions  map[lender.Part]uint64

	borrowing sync.Mutex // guards borrower, waiters, queues and empty
	borrower  *limiter.Borrower
	waiters   map[limiter.ID][]*waiter
	queues    map[string]*queue
	empty     map[string]time.Duration // collectors that had nothing to lend
	wake      chan struct{}
	more      chan struct{}

	lending sync.Mutex // guards holder, collector, claimer, versions and leaving
	leaving bool
	group   sync.WaitGroup

	// left holds the incarnations of VMs that said that they are leaving.
	left sync.Map

	metering sync.Mutex // guards meter
	meter    meter.Meter
}

// waiter is a request that waits for a decision.
type waiter struct {
	decided chan limiter.Verdict
}

// Clock returns a function that reads both clocks of the system. The monotonic
// one counts from the call of Clock.
func Clock() func() timekeeper.Reading {
	const origin = time.Second // a reading is never zero
	start := time.Now()
	return func() timekeeper.Reading {
		now := time.Now()
		return timekeeper.Reading{Mono: now.Sub(start) + origin, Wall: time.Duration(now.UnixNano())}
	}
}

func (lent *Lender) prepare() {
	lent.ready.Do(func() {
		if lent.Now == nil {
			lent.Now = Clock()
		}
		self := lent.Members.Self()
		lent.holder = lender.NewHolder()
		lent.collector = lender.NewCollector(incarnation(self))
		lent.claimer = lender.Claimer{Self: lender.Owner{
			Name: self.Name, Address: self.Address, Boot: lent.Boot, Incarnation: self.Incarnation,
		}}
		lent.versions = make(map[lender.Part]uint64)
		lent.borrower = limiter.NewBorrower()
		lent.waiters = make(map[limiter.ID][]*waiter)
		lent.queues = make(map[string]*queue)
		lent.empty = make(map[string]time.Duration)
		lent.wake = make(chan struct{}, 1)
		lent.more = make(chan struct{}, 1)
	})
}

// incarnation names a VM's process for the ledgers of other VMs.
func incarnation(peer watcher.Peer) string {
	return peer.Name + "/" + strconv.FormatUint(peer.Incarnation, 10)
}

// Service returns the service that other VMs call, to be registered under the
// name ServiceName.
func (lent *Lender) Service() *Service {
	lent.prepare()
	return &Service{lender: lent}
}

// ServiceName is the name of the service in the calls between VMs.
const ServiceName = "Lender"

// Run claims, lends and renews until the context ends.
func (lent *Lender) Run(ctx context.Context) error {
	lent.prepare()
	lent.group.Go(func() { lent.claimLoop(ctx) })
	lent.group.Go(func() { lent.every(ctx, lender.OfferPeriod, lent.more, lent.offer) })
	lent.group.Go(func() { lent.every(ctx, meterPeriod, nil, lent.writeMeter) })
	ticker := time.NewTicker(askPeriod)
	defer ticker.Stop()
	defer lent.group.Wait()
	for {
		lent.ask(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-lent.wake:
		}
	}
}

// every does some work each period, and at once when there is more to do.
func (lent *Lender) every(ctx context.Context, period time.Duration, more <-chan struct{}, work func(context.Context)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		work(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-more:
		}
	}
}

// Leave begins the hand-over of a planned stop: other VMs collect from now on.
// This VM's parts stay in use until GiveBack.
func (lent *Lender) Leave() {
	lent.prepare()
	lent.lending.Lock()
	lent.leaving = true
	lent.collector.Leave()
	lent.lending.Unlock()
	lent.left.Store(incarnation(lent.Members.Self()), true)
	lent.offerSoon()
}

// GiveBack ends a planned stop: it gives the parts of this VM back to the
// table service, and writes what its meter has counted.
func (lent *Lender) GiveBack(ctx context.Context) {
	lent.giveBack(ctx)
	lent.writeMeter(ctx)
}

// collectorOf returns the VM that collects for the shard, as this VM sees it.
func (lent *Lender) collectorOf(shard limiter.Shard, vms members) watcher.Peer {
	return vms.peers[lender.CollectorIndex(shard, vms.names)]
}

// members are the VMs that may collect.
type members struct {
	peers []watcher.Peer
	names []string
	// all has those that are leaving too.
	all []watcher.Peer
}

// members returns this VM and those that it can call, without those that are
// out, unless that leaves nobody.
func (lent *Lender) members(out func(incarnationName string) bool) members {
	live := lent.Members.Live()
	vms := members{all: append(live[:len(live):len(live)], lent.Members.Self())}
	for _, peer := range vms.all {
		if !out(incarnation(peer)) {
			vms.peers = append(vms.peers, peer)
		}
	}
	if len(vms.peers) == 0 {
		vms.peers = vms.all
	}
	for _, peer := range vms.peers {
		vms.names = append(vms.names, peer.Name)
	}
	return vms
}

// collectors are the VMs that get offers: those that aren't leaving.
func (lent *Lender) collectors() members {
	return lent.members(func(name string) bool {
		_, leaving := lent.left.Load(name)
		return leaving
	})
}

// forgetGone drops what is remembered of VMs that are gone.
func (lent *Lender) forgetGone(vms members) {
	lent.left.Range(func(name, _ any) bool {
		if _, ok := vms.named(name.(string)); !ok {
			lent.left.Delete(name)
		}
		return true
	})
}

// named finds a VM by its incarnation.
func (vms members) named(incarnationName string) (watcher.Peer, bool) {
	for _, peer := range vms.all {
		if incarnation(peer) == incarnationName {
			return peer, true
		}
	}
	return watcher.Peer{}, false
}
