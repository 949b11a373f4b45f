// Package gossiper runs the membership protocol of a VM: each period it calls the
// peers that core/watcher selects, and it answers the calls of other VMs.
//
// # Usage
//
//	gossiper := &gossiper.Gossiper{Peer: self, Caller: caller, Platform: platform, Log: log}
//	services.RegisterName("Members", gossiper.Service())
//	go gossiper.Run(ctx)
//	peers := gossiper.Live()
package gossiper

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"godwitramp.example/core/watcher"
	"godwitramp.example/shell/caller"
	"godwitramp.example/shell/connector"
)

const (
	callTimeout = 800 * time.Millisecond
	listPeriod  = 10 * time.Second
	listTimeout = 2 * time.Second
)

// Gossiper maintains the membership. It is safe for concurrent use. The exported
// fields are set before the first call.
type Gossiper struct {
	// Peer describes this VM.
	Peer   watcher.Peer
	Caller *caller.Caller
	// Platform provides the list of VMs, which only names candidates.
	Platform connector.Platform
	// Seeds are addresses to call while no other VM is known.
	Seeds []string
	Log   *logrus.Entry

	mutex   sync.Mutex
	watcher *watcher.Watcher
	started time.Time
	once    sync.Once
	// lastLive is the number of live VMs in the last round; only Run uses it.
	lastLive int
}

func (gossiper *Gossiper) init() {
	gossiper.once.Do(func() {
		gossiper.started = time.Now()
		gossiper.watcher = watcher.New(gossiper.Peer)
		gossiper.setCandidates(nil)
	})
}

func (gossiper *Gossiper) now() time.Duration { return time.Since(gossiper.started) }

// withLock calls step with the watcher and the time while it holds the mutex.
func (gossiper *Gossiper) withLock(step func(core *watcher.Watcher, now time.Duration)) {
	gossiper.init()
	gossiper.mutex.Lock()
	defer gossiper.mutex.Unlock()
	step(gossiper.watcher, gossiper.now())
}

// setCandidates passes the platform's list and the seeds to the watcher.
func (gossiper *Gossiper) setCandidates(vms []connector.VM) {
	var peers []watcher.Peer
	for _, seed := range gossiper.Seeds {
		if seed != gossiper.Peer.Address {
			peers = append(peers, watcher.Peer{Name: seed, Address: seed})
		}
	}
	for _, vm := range vms {
		if vm.State == connector.VMLive && vm.Peers != "" {
			peers = append(peers, watcher.Peer{Name: vm.Name, Region: vm.Region, DataCentre: vm.DataCentre, Address: vm.Peers})
		}
	}
	gossiper.watcher.SetCandidates(peers)
}

// Self returns this VM. Its incarnation rises when it refutes what other VMs
// report about an earlier process.
func (gossiper *Gossiper) Self() (self watcher.Peer) {
	gossiper.withLock(func(core *watcher.Watcher, _ time.Duration) { self = core.Self() })
	return self
}

// Live returns the VMs that can be called, as watcher.Members specifies.
func (gossiper *Gossiper) Live() (live []watcher.Peer) {
	gossiper.withLock(func(core *watcher.Watcher, _ time.Duration) { live = core.Live() })
	return live
}

// OneWay returns the VMs that can call this one but can't be called.
func (gossiper *Gossiper) OneWay() (peers []watcher.Peer) {
	gossiper.withLock(func(core *watcher.Watcher, now time.Duration) { peers = core.OneWay(now) })
	return peers
}

// Leave notifies the neighbours that this VM stops. It returns when each has
// answered or its call has failed, at the latest when the context ends.
func (gossiper *Gossiper) Leave(ctx context.Context) {
	var peers []watcher.Peer
	gossiper.withLock(func(core *watcher.Watcher, now time.Duration) {
		core.Leave()
		peers = core.Neighbours()
	})
	var group sync.WaitGroup
	for _, peer := range peers {
		group.Go(func() { gossiper.call(ctx, peer) })
	}
	group.Wait()
}

// Service has the methods that other VMs call.
type Service struct {
	gossiper *Gossiper
}

// Service returns the methods that other VMs call.
func (gossiper *Gossiper) Service() *Service { return &Service{gossiper: gossiper} }

// Exchange merges the message of another VM and returns the answer.
func (service *Service) Exchange(message watcher.Exchange, answer *watcher.Exchange) error {
	service.gossiper.withLock(func(core *watcher.Watcher, now time.Duration) { *answer = core.HandleCall(message, now) })
	return nil
}

// Run calls peers each watcher.Period until the context ends.
func (gossiper *Gossiper) Run(ctx context.Context) error {
	gossiper.init()
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { gossiper.listLoop(ctx) })
	// The random initial delay keeps VMs that start together from calling in
	// step.
	timer := time.NewTimer(time.Duration(random.Int64N(int64(watcher.Period))))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		timer.Reset(watcher.Period)
		gossiper.round(ctx, random, &group)
	}
}

// round calls this period's peers concurrently.
func (gossiper *Gossiper) round(ctx context.Context, random *rand.Rand, group *sync.WaitGroup) {
	var peers []watcher.Peer
	gossiper.withLock(func(core *watcher.Watcher, now time.Duration) {
		core.Tick(now)
		peers = core.PeersToCall(now, random)
	})
	for _, peer := range peers {
		group.Go(func() { gossiper.call(ctx, peer) })
	}
	if live := len(gossiper.Live()); live != gossiper.lastLive {
		gossiper.Log.WithFields(logrus.Fields{"before": gossiper.lastLive, "after": live}).Info("live-vms-changed")
		gossiper.lastLive = live
	}
}

func (gossiper *Gossiper) call(ctx context.Context, peer watcher.Peer) {
	var message, answer watcher.Exchange
	gossiper.withLock(func(core *watcher.Watcher, _ time.Duration) { message = core.Message(peer) })
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := gossiper.Caller.Call(ctx, peer.Address, "Members.Exchange", message, &answer)
	gossiper.withLock(func(core *watcher.Watcher, now time.Duration) {
		if err != nil {
			core.CallFailed(peer, now)
			return
		}
		core.HandleAnswer(peer, answer, now)
	})
	if err != nil {
		gossiper.Log.WithError(err).WithField("peer", peer.Name).Warn("peer-call-failed")
	}
}

// listLoop reads the platform's list every listPeriod.
func (gossiper *Gossiper) listLoop(ctx context.Context) {
	for {
		callCtx, cancel := context.WithTimeout(ctx, listTimeout)
		vms, err := gossiper.Platform.VMs(callCtx)
		cancel()
		if err == nil {
			gossiper.withLock(func(*watcher.Watcher, time.Duration) { gossiper.setCandidates(vms) })
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(listPeriod):
		}
	}
}
