// Package syncer keeps a VM's configuration at the newest revision. It reads
// the store, exchanges changes with other VMs, confirms the revision in force,
// and decides whether the VM's knowledge of keys is recent enough to admit
// requests.
//
// # Usage
//
//	syncer := &syncer.Syncer{Recorder: recorder, Members: members, Calls: caller, Log: log}
//	err := syncer.Register(server) // the *rpc.Server that answers other VMs
//	go syncer.Run(ctx)
//	table, known := syncer.Table(), syncer.KeysKnown()
//	syncer.Deregister(ctx) // when the VM has finished its last request
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

// Calls makes calls to other VMs; caller.Caller implements it.
type Calls interface {
	Call(ctx context.Context, address, method string, args, reply any) error
}

// Syncer keeps the recorded configuration in force on a VM. Its methods are
// safe for concurrent use after Service, Register or Run has been called.
type Syncer struct {
	Recorder *recorder.Recorder
	Members  watcher.Members
	Calls    Calls
	Log      *logrus.Entry

	start time.Time
	once  sync.Once
	// group contains every goroutine, so that none outlives Run.
	group sync.WaitGroup

	mutex    sync.Mutex
	follower *follower.Follower
	calling  map[string]bool

	loading atomic.Bool
	// writesFailing is true while the VM can't write its confirmations.
	writesFailing atomic.Bool
	// leaving is true once the VM has begun to delete its registration.
	leaving atomic.Bool
	// parentFailures counts failed calls to the VMs that get the confirmations.
	parentFailures atomic.Uint64
	table          atomic.Pointer[configurator.Table]
	revision       atomic.Uint64
	keyLease       atomic.Pointer[timekeeper.Lease]
	position       atomic.Pointer[arranger.Position]
	snapshotCache  snapshotCache
}

var (
	divergences = metrics.NewCounter("godwitramp_config_divergences_total")
	fullLoads   = metrics.NewCounter("godwitramp_config_full_loads_total")
	storeReads  = metrics.NewCounter("godwitramp_config_store_reads_total")
	exchanges   = metrics.NewCounter("godwitramp_config_exchanges_total")
)

// prepare creates the state that needs the VM's own name.
func (syncer *Syncer) prepare() {
	syncer.once.Do(func() {
		self := syncer.Members.Self()
		syncer.start = time.Now()
		syncer.follower = follower.New(self.Name, self.Incarnation)
		syncer.follower.BesideStore, syncer.follower.DataCentre = self.BesideStore, self.DataCentre
		syncer.calling = make(map[string]bool)
		syncer.updatePosition()
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

// Run keeps the configuration up to date until the context ends.
func (syncer *Syncer) Run(ctx context.Context) error {
	syncer.prepare()
	for _, loop := range []func(context.Context){
		syncer.registerLoop, syncer.readLoop, syncer.exchangeLoop, syncer.confirmLoop, syncer.snapshotLoop,
		syncer.reapLoop, syncer.registrationCheckLoop,
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

// KeysKnown reports whether the configuration is recent enough to rely on the
// absence of withdrawals.
func (syncer *Syncer) KeysKnown() bool {
	lease := syncer.keyLease.Load()
	return lease != nil && !lease.Lapsed(syncer.reading())
}

// StillValid reports whether a request that was admitted by a key may still
// be sent to an upstream: the key is in force for the same organisation, and
// KeysKnown holds or the organisation is served without it.
func (syncer *Syncer) StillValid(hash configurator.KeyHash, path configurator.Path) bool {
	table := syncer.Table()
	if table == nil {
		return false
	}
	key, organisation := table.Key(hash), table.Organisation(path)
	if key == nil || organisation == nil || key.Organisation != path {
		return false
	}
	return organisation.WhenCutOff == configurator.ServeWhenCutOff || syncer.KeysKnown()
}

// reading returns the current time on both clocks.
func (syncer *Syncer) reading() timekeeper.Reading {
	now := time.Now()
	return timekeeper.Reading{Mono: now.Sub(syncer.start), Wall: time.Duration(now.UnixNano())}
}

// update changes the follower. It puts the resulting table in force before
// any other VM can learn its revision.
func (syncer *Syncer) update(change func(follower *follower.Follower, now timekeeper.Reading)) {
	syncer.mutex.Lock()
	defer syncer.mutex.Unlock()
	now := syncer.reading()
	change(syncer.follower, now)
	var keyLease *timekeeper.Lease
	if lease, ok := syncer.follower.KeyLease(now); ok {
		keyLease = &lease
	}
	syncer.keyLease.Store(keyLease)
	table, revision := syncer.follower.Table(), syncer.follower.Revision()
	if table == syncer.table.Load() && revision == syncer.revision.Load() {
		return
	}
	syncer.table.Store(table)
	syncer.revision.Store(revision)
	for _, problem := range syncer.follower.TakeProblems() {
		syncer.Log.WithError(problem).Error("entry-rejected")
	}
	syncer.Log.WithFields(logrus.Fields{"revision": revision, "digest": syncer.follower.Digest()}).Info("configuration-in-force")
}

// updatePosition recomputes the VM's position among the live VMs.
func (syncer *Syncer) updatePosition() arranger.Position {
	position := arranger.Arrange(syncer.Members.Self(), syncer.Members.Live())
	syncer.position.Store(&position)
	return position
}

// newRandom returns a random source for one loop.
func (syncer *Syncer) newRandom(loop uint64) *rand.Rand {
	self := syncer.Members.Self()
	hash := fnv.New64a()
	_, _ = hash.Write([]byte(self.Name)) // never fails
	return rand.New(rand.NewPCG(hash.Sum64()+self.Incarnation, loop))
}

// runEvery calls work once a period until the context ends. The first call
// comes after a random part of the period that differs between VMs.
func (syncer *Syncer) runEvery(ctx context.Context, period time.Duration, random *rand.Rand, work func()) {
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
