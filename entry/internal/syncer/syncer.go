// Package syncer keeps a VM's configuration at the newest revision: it reads
// the store, exchanges news with other VMs, confirms what is in force, and
// knows whether the keys may still be trusted.
//
// # Usage
//
//	syncer := &syncer.Syncer{Recorder: recorder, Members: members, Calls: caller, Log: log}
//	err := syncer.Register(server) // the *rpc.Server that answers other VMs
//	go syncer.Run(ctx)
//	table, known := syncer.Table(), syncer.KeysKnown()
//	syncer.Leave(ctx) // when the VM has finished its last request
package syncer

import (
	"context"
	"hash/fnv"
	"math/rand/v2"
	"net/rpc"
	"sync"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/sirupsen/logrus"

	"godwitramp.example/core/arranger"
	"godwitramp.example/core/configurator"
	"godwitramp.example/core/confirmer"
	"godwitramp.example/core/follower"
	"godwitramp.example/core/timekeeper"
	"godwitramp.example/core/watcher"
	"godwitramp.example/shell/recorder"
)

// Calls carries calls to other VMs; caller.Caller is one.
type Calls interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Syncer follows the recorded configuration. Its methods are safe for
// concurrent use after Service, Register or Run has been called.
type Syncer struct {
	Recorder *recorder.Recorder
	Members  watcher.Members
	Calls    Calls
	Log      *logrus.Entry

	start time.Time
	once  sync.Once
	// group has every goroutine, so that none outlives Run.
	group sync.WaitGroup

	mutex    sync.Mutex
	follower *follower.Follower
	calling  map[string]bool

	loading atomic.Bool
	// stuck is true while the VM can't write its confirmations.
	stuck atomic.Bool
	// left is true once the VM has taken back its registration.
	left atomic.Bool
	// attempt counts failed calls to VMs that confirmations go to.
	attempt   atomic.Uint64
	table     atomic.Pointer[configurator.Table]
	revision  atomic.Uint64
	trust     atomic.Pointer[timekeeper.Lease]
	place     atomic.Pointer[arranger.Position]
	snapshots snapshots
}

var (
	divergences = metrics.NewCounter("godwitramp_config_divergences_total")
	fullLoads   = metrics.NewCounter("godwitramp_config_full_loads_total")
	storeReads  = metrics.NewCounter("godwitramp_config_store_reads_total")
	exchanges   = metrics.NewCounter("godwitramp_config_exchanges_total")
)

// prepare makes the state that needs the VM's own name.
func (syncer *Syncer) prepare() {
	syncer.once.Do(func() {
		self := syncer.Members.Self()
		syncer.start = time.Now()
		syncer.follower = follower.New(self.Name, self.Incarnation)
		syncer.follower.BesideStore, syncer.follower.DataCentre = self.BesideStore, self.DataCentre
		syncer.calling = make(map[string]bool)
		syncer.arrange()
	})
}

// Service returns the service that other VMs call.
func (syncer *Syncer) Service() *Service {
	syncer.prepare()
	return &Service{syncer: syncer}
}

// Register adds the service to a server.
func (syncer *Syncer) Register(server *rpc.Server) error {
	return server.RegisterName(serviceName, syncer.Service())
}

// Run follows until the context ends.
func (syncer *Syncer) Run(ctx context.Context) error {
	syncer.prepare()
	for _, loop := range []func(context.Context){
		syncer.registerLoop, syncer.readLoop, syncer.exchangeLoop, syncer.confirmLoop, syncer.snapshotLoop,
		syncer.reapLoop, syncer.checkLoop,
	} {
		syncer.group.Go(func() { loop(ctx) })
	}
	syncer.group.Wait()
	return nil
}

// Table returns the configuration in force on this VM, or nil before the
// first one.
func (syncer *Syncer) Table() *configurator.Table { return syncer.table.Load() }

// Revision returns the revision in force on this VM.
func (syncer *Syncer) Revision() uint64 { return syncer.revision.Load() }

// KeysKnown reports whether the VM can know of withdrawn keys.
func (syncer *Syncer) KeysKnown() bool {
	lease := syncer.trust.Load()
	return lease != nil && !lease.Lapsed(syncer.reading())
}

// StillValid reports whether a request that was admitted by a key may still
// be sent to an upstream: the key is in force for the same organisation, and
// the VM can know of its withdrawal unless the organisation does without.
func (syncer *Syncer) StillValid(hash configurator.KeyHash, organisation configurator.Path) bool {
	table := syncer.Table()
	if table == nil {
		return false
	}
	key, customer := table.Key(hash), table.Organisation(organisation)
	if key == nil || customer == nil || key.Organisation != organisation {
		return false
	}
	return customer.WhenCutOff == configurator.ServeWhenCutOff || syncer.KeysKnown()
}

// reading is now on both clocks.
func (syncer *Syncer) reading() timekeeper.Reading {
	now := time.Now()
	return timekeeper.Reading{Mono: now.Sub(syncer.start), Wall: time.Duration(now.UnixNano())}
}

// update changes the follower and puts its table in force before anybody can
// be told of its revision.
func (syncer *Syncer) update(change func(follower *follower.Follower, now timekeeper.Reading)) {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	now := syncer.reading()
	change(syncer.follower, now)
	var trust *timekeeper.Lease
	if lease, ok := syncer.follower.KeyLease(now); ok {
		trust = &lease
	}
	syncer.trust.Store(trust)
	table, revision := syncer.follower.Table(), syncer.follower.Revision()
	if table == syncer.table.Load() && revision == syncer.revision.Load() {
		return
	}
	syncer.table.Store(table)
	syncer.revision.Store(revision)
	for _, problem := range syncer.follower.TakeProblems() {
		syncer.Log.WithError(problem).Error("entry-left-out")
	}
	syncer.Log.WithFields(logrus.Fields{"revision": revision, "digest": syncer.follower.Digest()}).Info("configuration-in-force")
}

// arrange finds the VM's place anew.
func (syncer *Syncer) arrange() arranger.Position {
	place := arranger.Arrange(syncer.Members.Self(), syncer.Members.Live())
	syncer.place.Store(&place)
	return place
}

// random returns a source of its own for one loop.
func (syncer *Syncer) random(loop uint64) *rand.Rand {
	self := syncer.Members.Self()
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(self.Name)) // never fails
	return rand.New(rand.NewPCG(hash.Sum64()+self.Incarnation, loop))
}

// every calls work once a period until the context ends, at first after a
// part of the period that differs between VMs.
func (syncer *Syncer) every(ctx context.Context, period time.Duration, random *rand.Rand, work func()) {
	timer := time.NewTimer(time.Duration(random.Int64N(int64(period))))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-timer.C:
		}
		work()
		timer.Reset(period)
	}
}

func (syncer *Syncer) registration() confirmer.Registration {
	self := syncer.Members.Self()
	return confirmer.Registration{
		VM: self.Name, Incarnation: self.Incarnation, DataCentre: self.DataCentre, BesideStore: self.BesideStore,
	}
}
