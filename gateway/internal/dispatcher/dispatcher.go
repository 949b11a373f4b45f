// Package dispatcher admits callers' requests, sends them to targets and says
// what is answered.
//
// A request that isn't idempotent is sent again only if it certainly did not
// run. An idempotent one goes to another target after a failure, or beside the
// first attempt when that takes far longer than usual, both within the
// service's budget. A request that can't be served is refused at once.
//
// # Usage
//
//	dispatcher := &dispatcher.Dispatcher{Tracker: tracker, Messenger: messenger, Policy: policy, Log: log}
//	dispatcher.Open()
//	reply := dispatcher.Serve(ctx, call)
package dispatcher

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"godwitramp.example/core/indexer"
	"godwitramp.example/core/placer"
	"godwitramp.example/core/rationer"
	"godwitramp.example/core/verifier"
	"godwitramp.example/gateway/internal/messenger"
	"godwitramp.example/shell/exchanger"
)

// Tracker knows the configuration.
type Tracker interface {
	Index() *indexer.Index
	// AsOf returns the time of the dispatcher's Clock up to which Index is known
	// to be the newest.
	AsOf() time.Duration
	// Behind reports whether a newer one is known to exist.
	Behind() bool
	// StoreUnreachable reports whether the store does not answer this VM about configurations.
	StoreUnreachable() bool
}

// Messenger tells other VMs.
type Messenger interface {
	Tell(notes ...messenger.Note)
	TellFleet(notes ...messenger.Note)
}

// Dispatcher serves requests. Fields are set before Open.
type Dispatcher struct {
	Tracker   Tracker
	Messenger Messenger
	Exchanger *exchanger.Exchanger
	// Policy holds until SetPolicy changes it.
	Policy Policy
	Place  placer.Locality
	// Regions tells the region of each data centre.
	Regions map[string]string
	// Clock goes on while the VM is suspended.
	Clock func() time.Duration
	// MaxAnswerBytes bounds what is held of answers that are still coming; zero means
	// no bound.
	MaxAnswerBytes int64
	// Started is closed once the configuration and targets are read and the group
	// is found. Nil means that they are.
	Started <-chan struct{}
	Log     *logrus.Entry

	state   state
	latency latencies
}

// Open prepares the dispatcher. It comes before all other calls.
func (dispatcher *Dispatcher) Open() {
	dispatcher.state = state{
		placer: &placer.Placer{Locality: dispatcher.Place, Regions: dispatcher.Regions},
		random: rand.New(rand.NewPCG(rand.Uint64(), rand.Uint64())),
		policy: dispatcher.Policy, part: 1 / float64(max(1, len(dispatcher.Regions))), heard: unjoined,
		answers: rationer.Rationer{Limit: dispatcher.MaxAnswerBytes},
	}
}

// Configure takes over a new configuration.
func (dispatcher *Dispatcher) Configure(index *indexer.Index) {
	dispatcher.state.configure(index, dispatcher.Clock())
}

// SetPolicy takes over changed bounds of the fleet.
func (dispatcher *Dispatcher) SetPolicy(policy Policy) {
	dispatcher.state.setPolicy(policy)
	if index := dispatcher.Tracker.Index(); index != nil {
		dispatcher.Configure(index)
	}
}

// Target takes over the targets.
func (dispatcher *Dispatcher) Target(targets []placer.Target) {
	state := &dispatcher.state
	state.mutex.Lock()
	defer state.mutex.Unlock()
	state.placer.Replace(targets, dispatcher.Clock())
}

// Share takes over which part of the fleet's rates this VM may spend from.
func (dispatcher *Dispatcher) Share(share messenger.Share) {
	now := dispatcher.Clock()
	dispatcher.state.share(share.Group/float64(max(1, len(dispatcher.Regions))), share.Heard, now)
	if index := dispatcher.Tracker.Index(); index != nil {
		dispatcher.state.configure(index, now)
	}
}

// Hear takes over a note of another VM.
func (dispatcher *Dispatcher) Hear(note messenger.Note, fromGroup bool) {
	dispatcher.state.hear(note, fromGroup, dispatcher.Clock())
}

// knowledge returns how current the configuration is.
func (dispatcher *Dispatcher) knowledge() verifier.Freshness {
	tracker := dispatcher.Tracker
	return verifier.Freshness{Age: dispatcher.Clock() - tracker.AsOf(), Behind: tracker.Behind(), StoreUnreachable: tracker.StoreUnreachable()}
}

// Current reports whether requests may be handled by the configuration.
func (dispatcher *Dispatcher) Current() bool {
	return dispatcher.state.configurationPolicy().MayServe(dispatcher.knowledge())
}

// trusted reports whether requests with a key may run.
func (dispatcher *Dispatcher) trusted() bool {
	return dispatcher.state.configurationPolicy().MayTrustKeys(dispatcher.knowledge())
}

// certain reports whether a request may be told that its route or key is unknown.
func (dispatcher *Dispatcher) certain() bool {
	return dispatcher.state.configurationPolicy().MayRejectUnknown(dispatcher.knowledge())
}

// startPatience is how long a request waits for a VM that has just started. It
// reads what it needs within a tenth of that, if the store answers.
const startPatience = 400 * time.Millisecond

// awaitStart waits until the VM has started, within the patience.
func (dispatcher *Dispatcher) awaitStart(ctx context.Context) {
	select {
	case <-dispatcher.Started:
		return
	default:
	}
	if dispatcher.Started == nil {
		return
	}
	patience := time.NewTimer(startPatience)
	defer patience.Stop()
	select {
	case <-dispatcher.Started:
	case <-patience.C:
	case <-ctx.Done():
	}
}

// await waits for a channel, and reports false if the context ends first.
func await(ctx context.Context, channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	case <-ctx.Done():
		return false
	}
}
