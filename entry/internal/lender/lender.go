// Package lender enforces rate limits across the whole fleet. It claims parts of
// organisations' rates in the table service, lends tokens to other VMs, borrows
// from them, and admits requests accordingly.
//
// The packages lender and limiter of core make all decisions. This package
// provides them with the time, the rows of the table service and the messages of
// other VMs, and lets requests wait for an answer.
//
// Messages are batched: at most one call with asks is in flight to each VM, and
// asks that come up in the meantime go with the next call.
//
// # Usage
//
//	lender := &lender.Lender{Members: members, Caller: caller, Platform: platform, Tables: syncer, Log: log}
//	err := services.RegisterName(lender.ServiceName, lender.Service())
//	go lender.Run(ctx)
//	allowed, retryAfter := lender.Admit(ctx, organisation)
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
	// maxDecisionWait limits how long a request waits for a decision.
	maxDecisionWait = 400 * time.Millisecond
	// undecidedRetryAfter is the retry time for requests that got no decision.
	undecidedRetryAfter = time.Second
)

// Tables provides the configuration in force.
type Tables interface {
	// Table returns nil before the first configuration is known.
	Table() *configurator.Table
	Revision() uint64
}

// Caller calls other VMs.
type Caller interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Lender enforces the fleet's rate limits on one VM. It is safe for concurrent
// use.
type Lender struct {
	Members  watcher.Members
	Caller   Caller
	Platform connector.Platform
	Tables   Tables
	// BootID identifies the boot of the operating system; empty if unknown.
	BootID string
	// Now reads both clocks; the default is Clock.
	Now func() timekeeper.Reading
	Log *logrus.Entry

	prepareOnce sync.Once
	holder      *lender.Holder
	collector   *lender.Collector
	claimer     lender.Claimer
	versions    map[lender.Part]uint64

	borrowMutex sync.Mutex // guards borrower, waiters, queues and emptySince
	borrower    *limiter.Borrower
	waiters     map[limiter.ID][]*waiter
	queues      map[string]*askQueue
	emptySince  map[string]time.Duration // collectors that had nothing to lend
	askNow      chan struct{}
	offerNow    chan struct{}

	lendMutex sync.Mutex // guards holder, collector, claimer, versions and leaving
	leaving   bool
	group     sync.WaitGroup

	// leavingVMs contains the incarnations of VMs that announced leaving.
	leavingVMs sync.Map

	meterMutex sync.Mutex // guards meter
	meter      meter.Meter
}

// waiter is a request that waits for a decision.
type waiter struct {
	decided chan limiter.Verdict
}

// Clock returns a function that reads both clocks of the system. The monotonic
// clock starts at the call of Clock.
func Clock() func() timekeeper.Reading {
	const origin = time.Second // a reading is never zero
	start := time.Now()
	return func() timekeeper.Reading {
		now := time.Now()
		return timekeeper.Reading{Mono: now.Sub(start) + origin, Wall: time.Duration(now.UnixNano())}
	}
}

func (lent *Lender) prepare() {
	lent.prepareOnce.Do(func() {
		if lent.Now == nil {
			lent.Now = Clock()
		}
		self := lent.Members.Self()
		lent.holder = lender.NewHolder()
		lent.collector = lender.NewCollector(incarnation(self))
		lent.claimer = lender.Claimer{Self: lender.Owner{
			Name: self.Name, Address: self.Address, Boot: lent.BootID, Incarnation: self.Incarnation,
		}}
		lent.versions = make(map[lender.Part]uint64)
		lent.borrower = limiter.NewBorrower()
		lent.waiters = make(map[limiter.ID][]*waiter)
		lent.queues = make(map[string]*askQueue)
		lent.emptySince = make(map[string]time.Duration)
		lent.askNow = make(chan struct{}, 1)
		lent.offerNow = make(chan struct{}, 1)
	})
}

// incarnation identifies a VM's process in the ledgers of other VMs.
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

// Run claims, renews, lends and borrows until the context ends.
func (lent *Lender) Run(ctx context.Context) error {
	lent.prepare()
	lent.group.Go(func() { lent.claimLoop(ctx) })
	lent.group.Go(func() { lent.runEvery(ctx, lender.OfferPeriod, lent.offerNow, lent.sendAllOffers) })
	lent.group.Go(func() { lent.runEvery(ctx, meterPeriod, nil, lent.writeMeter) })
	ticker := time.NewTicker(askPeriod)
	defer ticker.Stop()
	defer lent.group.Wait()
	for {
		lent.sendAsks(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		case <-lent.askNow:
		}
	}
}

// runEvery calls work each period, and at once after a signal on now.
func (lent *Lender) runEvery(ctx context.Context, period time.Duration, now <-chan struct{}, work func(context.Context)) {
	ticker := time.NewTicker(period)
	defer ticker.Stop()
	for {
		work(ctx)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-now:
		}
	}
}

// Leave begins a planned stop: from now on other VMs are the collectors. This
// VM's parts stay in use until Release.
func (lent *Lender) Leave() {
	lent.prepare()
	lent.lendMutex.Lock()
	lent.leaving = true
	lent.collector.Leave()
	lent.lendMutex.Unlock()
	lent.leavingVMs.Store(incarnation(lent.Members.Self()), true)
	lent.triggerOffers()
}

// Release ends a planned stop: it releases this VM's parts in the table service
// and writes the totals of its meter.
func (lent *Lender) Release(ctx context.Context) {
	lent.releaseParts(ctx)
	lent.writeMeter(ctx)
}

// collectorOf returns the VM that collects for the shard, as this VM sees it.
func (lent *Lender) collectorOf(shard limiter.Shard, vms members) watcher.Peer {
	return vms.peers[lender.CollectorIndex(shard, vms.names)]
}

// members are the VMs that may be collectors.
type members struct {
	peers []watcher.Peer
	names []string
	// all also contains the excluded VMs.
	all []watcher.Peer
}

// members returns this VM and those that it can call, without the excluded ones
// unless all are excluded.
func (lent *Lender) members(excluded func(incarnationName string) bool) members {
	live := lent.Members.Live()
	vms := members{all: append(live[:len(live):len(live)], lent.Members.Self())}
	for _, peer := range vms.all {
		if !excluded(incarnation(peer)) {
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

// collectors returns the VMs that get offers: those that aren't leaving.
func (lent *Lender) collectors() members {
	return lent.members(func(name string) bool {
		_, leaving := lent.leavingVMs.Load(name)
		return leaving
	})
}

// pruneLeaving drops the entries of leaving VMs that have ended.
func (lent *Lender) pruneLeaving(vms members) {
	lent.leavingVMs.Range(func(name, _ any) bool {
		if _, ok := vms.byIncarnation(name.(string)); !ok {
			lent.leavingVMs.Delete(name)
		}
		return true
	})
}

// byIncarnation finds a VM by its incarnation.
func (vms members) byIncarnation(incarnationName string) (watcher.Peer, bool) {
	for _, peer := range vms.all {
		if incarnation(peer) == incarnationName {
			return peer, true
		}
	}
	return watcher.Peer{}, false
}
