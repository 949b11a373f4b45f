// Package gossiper runs the membership of a VM: it calls the neighbours that
// core/watcher names, in time, and answers their calls.
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

// Gossiper keeps the membership. It is safe for concurrent use once Run has
// been called.
type Gossiper struct {
	// Peer describes this VM.
	Peer   watcher.Peer
	Caller *caller.Caller
	// Platform gives the list of VMs, which is a hint only.
	Platform connector.Platform
	// Seeds are addresses to call while no other VM is known.
	Seeds []string
	Log   *logrus.Entry

	mutex   sync.Mutex
	watcher *watcher.Watcher
	started time.Time
	once    sync.Once
	// lastLive is the number of live VMs in the last round; Run's alone.
	lastLive int
}

func (gossiper *Gossiper) init() {
	gossiper.once.Do(func() {
		gossiper.started = time.Now()
		gossiper.watcher = watcher.New(gossiper.Peer)
		gossiper.hint(nil)
	})
}

func (gossiper *Gossiper) now() time.Duration { return time.Since(gossiper.started) }

// locked runs a step of the core.
func (gossiper *Gossiper) locked(step func(core *watcher.Watcher, now time.Duration)) {
	gossiper.init()
	gossiper.mutex.Lock()
	defer gossiper.mutex.Unlock()
	step(gossiper.watcher, gossiper.now())
}

// hint passes on the platform's list and the seeds.
func (gossiper *Gossiper) hint(vms []connector.VM) {
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

// Self returns this VM. Its incarnation rises when it contradicts what others
// say of a process before it.
func (gossiper *Gossiper) Self() (self watcher.Peer) {
	gossiper.locked(func(core *watcher.Watcher, _ time.Duration) { self = core.Self() })
	return self
}

// Live returns the VMs that can be called, as watcher.Members says.
func (gossiper *Gossiper) Live() (live []watcher.Peer) {
	gossiper.locked(func(core *watcher.Watcher, _ time.Duration) { live = core.Live() })
	return live
}

// OneWay returns the VMs that can call this one but can't be called.
func (gossiper *Gossiper) OneWay() (peers []watcher.Peer) {
	gossiper.locked(func(core *watcher.Watcher, now time.Duration) { peers = core.OneWay(now) })
	return peers
}

// Leave tells the neighbours that this VM stops. It returns when they have
// answered or the context ends.
func (gossiper *Gossiper) Leave(ctx context.Context) {
	var targets []watcher.Peer
	gossiper.locked(func(core *watcher.Watcher, now time.Duration) {
		core.Leave()
		targets = core.Neighbours()
	})
	var group sync.WaitGroup
	for _, target := range targets {
		group.Go(func() { gossiper.call(ctx, target) })
	}
	group.Wait()
}

// Service has the methods that other VMs call.
type Service struct {
	gossiper *Gossiper
}

// Service returns the methods that other VMs call.
func (gossiper *Gossiper) Service() *Service { return &Service{gossiper: gossiper} }

// Exchange takes in a call of a neighbour and answers it.
func (service *Service) Exchange(message watcher.Exchange, answer *watcher.Exchange) error {
	service.gossiper.locked(func(core *watcher.Watcher, now time.Duration) { *answer = core.HandleCall(message, now) })
	return nil
}

// Run calls neighbours until the context ends.
func (gossiper *Gossiper) Run(ctx context.Context) error {
	gossiper.init()
	random := rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64()))
	var group sync.WaitGroup
	defer group.Wait()
	group.Go(func() { gossiper.followList(ctx) })
	// A random start keeps VMs that start together from calling in step.
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

// round calls this period's targets side by side.
func (gossiper *Gossiper) round(ctx context.Context, random *rand.Rand, group *sync.WaitGroup) {
	var targets []watcher.Peer
	gossiper.locked(func(core *watcher.Watcher, now time.Duration) {
		core.Tick(now)
		targets = core.PeersToCall(now, random)
	})
	for _, target := range targets {
		group.Go(func() { gossiper.call(ctx, target) })
	}
	if live := len(gossiper.Live()); live != gossiper.lastLive {
		gossiper.Log.WithFields(logrus.Fields{"before": gossiper.lastLive, "after": live}).Info("live-vms-changed")
		gossiper.lastLive = live
	}
}

func (gossiper *Gossiper) call(ctx context.Context, target watcher.Peer) {
	var message, answer watcher.Exchange
	gossiper.locked(func(core *watcher.Watcher, _ time.Duration) { message = core.Message(target) })
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := gossiper.Caller.Call(ctx, target.Address, "Members.Exchange", message, &answer)
	gossiper.locked(func(core *watcher.Watcher, now time.Duration) {
		if err != nil {
			core.CallFailed(target, now)
			return
		}
		core.HandleAnswer(target, answer, now)
	})
	if err != nil {
		gossiper.Log.WithError(err).WithField("peer", target.Name).Warn("peer-call-failed")
	}
}

// followList reads the platform's list now and then.
func (gossiper *Gossiper) followList(ctx context.Context) {
	for {
		attempt, cancel := context.WithTimeout(ctx, listTimeout)
		vms, err := gossiper.Platform.VMs(attempt)
		cancel()
		if err == nil {
			gossiper.locked(func(*watcher.Watcher, time.Duration) { gossiper.hint(vms) })
		}
		select {
		case <-ctx.Done():
			return
		case <-time.After(listPeriod):
		}
	}
}
