// Package dispatcher admits the requests of callers, sends them to targets and returns
// the answers.
//
// A request is admitted by route, key and rate of its organisation, if the VM's
// configuration is fresh enough for that. It may wait shortly for a token of the rate. A
// request that can't be served is refused at once.
//
// A request that isn't idempotent is retried only if it certainly did not run. An
// idempotent one is retried on another target after a failure, and hedged when the first
// attempt takes far longer than usual, both within the retry budget of the service.
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
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"godwitramp.example/core/delegator"
	"godwitramp.example/core/drainer"
	"godwitramp.example/core/indexer"
	"godwitramp.example/core/placer"
	"godwitramp.example/core/quarantiner"
	"godwitramp.example/core/throttler"
	"godwitramp.example/core/verifier"
	"godwitramp.example/gateway/internal/forwarder"
	"godwitramp.example/gateway/internal/messenger"
	"godwitramp.example/gateway/internal/receiver"
	"godwitramp.example/shell/bufferer"
	"godwitramp.example/shell/exchanger"
)

// Tracker provides the configuration and its freshness.
type Tracker interface {
	Index() *indexer.Index
	// AsOf returns the latest time, on the dispatcher's Clock, at which Index is known
	// to have been the newest configuration.
	AsOf() time.Duration
	// Behind reports whether a newer one is known to exist.
	Behind() bool
	// StoreUnreachable reports whether the store does not answer this VM's reads of the
	// configuration.
	StoreUnreachable() bool
	// EvacuationsAsOf returns the latest time at which all evacuations are known, and EvacuationsBehind reports whether
	// a change is known to exist that may be one. They hold also if the newest configuration can't be used.
	EvacuationsAsOf() time.Duration
	EvacuationsBehind() bool
}

// Messenger sends events to other VMs: SendToGroup to those of this VM's group,
// SendToFleet to those outside it. AskForTokens asks other groups for tokens of an
// organisation, at most the given number of them in the VM's data centre, and returns how
// many it has asked; HandleTokens is called with the answers.
type Messenger interface {
	SendToGroup(events ...messenger.Event)
	SendToFleet(events ...messenger.Event)
	AskForTokens(scope throttler.Scope, organisation string, tokens float64, lenders int) int
}

// Group tells what this VM has reason to believe about the VMs of its group.
type Group interface {
	// Belief counts messages that were lost since a time.
	Belief(since, now time.Duration) throttler.Belief
	// AskGroup asks VMs that were not heard lately for a message, and reports whether there are any.
	AskGroup() bool
	// ProbeFilter returns a function that reports whether this VM is the one of its group that probes a target, or nil if the
	// group isn't known.
	ProbeFilter() func(target string) bool
}

// Forwarder passes a request on to the VM at an address. An error is an *exchanger.Error.
type Forwarder interface {
	Forward(ctx context.Context, address string, call *receiver.Call, conditions forwarder.Conditions) (receiver.Reply, error)
}

// Dispatcher serves requests. Fields are set before Open.
type Dispatcher struct {
	Tracker   Tracker
	Messenger Messenger
	Exchanger *exchanger.Exchanger
	// Policy applies until the first call of SetPolicy.
	Policy   Policy
	Locality placer.Locality
	// Regions maps each data centre to its region.
	Regions map[string]string
	// Clock is monotonic and advances while the VM is suspended.
	Clock func() time.Duration
	// MaxAnswerBytes limits the memory for answers in transfer; zero means no limit.
	MaxAnswerBytes int64
	// Started is closed once the configuration and targets are loaded and the VM has
	// found its group. Nil means that this is so already.
	Started <-chan struct{}
	// FleetKey, if set, returns the key that all VMs of the fleet have, nil while it isn't known.
	// Fingerprints of requests are keyed with it.
	FleetKey func() []byte
	// Forwarder, if set, passes requests on to other VMs, which Candidates returns.
	Forwarder  Forwarder
	Candidates func() []delegator.Candidate
	// Unconfirmed, if set, reports whether the configuration may be that of an older copy of the store, which
	// no other VM can have said yet.
	Unconfirmed func() bool
	// Group, if set, says how much of the group's rates this VM may spend. Otherwise that is what the last
	// call of SetShare says.
	Group Group
	// OnBlocksChange, if set, is called when this VM finds that a request must be blocked, or that a
	// blocked one need not be. It must not block.
	OnBlocksChange func()
	// WritesBlocks, if set, reports whether OnBlocksChange is also called for what other VMs have found.
	WritesBlocks func() bool
	Log          *logrus.Entry

	state state
	// answers limits the memory for answer bodies in transfer.
	answers bufferer.Bufferer
	latency latencies
	looks   looks
	// laterLooks is the number of attempts that wait for lookAfterCancel.
	laterLooks atomic.Int64
	stop       atomic.Pointer[stop]
}

// stop is a planned stop of the VM.
type stop struct {
	policy    drainer.Policy
	startedAt time.Duration
}

// Open prepares the dispatcher. Call it before all other methods.
func (dispatcher *Dispatcher) Open() {
	dispatcher.answers.Limit = dispatcher.MaxAnswerBytes
	source := rand.NewPCG(rand.Uint64(), rand.Uint64())
	dispatcher.state = state{
		placer: &placer.Placer{Locality: dispatcher.Locality, Regions: dispatcher.Regions, Floor: dispatcher.Policy.TargetFloor},
		random: rand.New(source), source: source,
		policy: dispatcher.Policy, groupShare: 1 / float64(max(1, len(dispatcher.Regions))), reachableFraction: unjoinedFraction,
		group: dispatcher.Group, quarantine: quarantiner.Quarantiner{BlockTime: dispatcher.Policy.BlockTime},
	}
}

// Configure applies the rates and services of a new configuration.
func (dispatcher *Dispatcher) Configure(index *indexer.Index) {
	dispatcher.state.configure(index, dispatcher.Clock())
	dispatcher.logWarmups()
	dispatcher.logUnknownHedges(index)
}

// Leave starts a planned stop: requests that may not be answered before its end are refused.
func (dispatcher *Dispatcher) Leave(policy drainer.Policy) {
	dispatcher.stop.Store(&stop{policy: policy, startedAt: dispatcher.Clock()})
}

// SetPolicy replaces the policy.
func (dispatcher *Dispatcher) SetPolicy(policy Policy) {
	dispatcher.state.setPolicy(policy)
	if index := dispatcher.Tracker.Index(); index != nil {
		dispatcher.Configure(index)
	}
}

// SetTargets replaces the targets.
func (dispatcher *Dispatcher) SetTargets(targets []placer.Target) {
	dispatcher.state.replace(targets, dispatcher.Clock())
	dispatcher.logWarmups()
}

// SetShare sets the share of the fleet's rates and retry budgets that this VM may spend.
func (dispatcher *Dispatcher) SetShare(share messenger.Share) {
	now := dispatcher.Clock()
	dispatcher.state.setShare(share.Group/float64(max(1, len(dispatcher.Regions))), share.Reachable, now)
	dispatcher.state.setGroup(share.Position, share.Groups)
	if index := dispatcher.Tracker.Index(); index != nil {
		dispatcher.state.configure(index, now)
	}
}

// HandleEvent applies an event of another VM. fromGroup is true if that VM belongs to this
// VM's group.
func (dispatcher *Dispatcher) HandleEvent(event messenger.Event, fromGroup bool) {
	if isQuarantineEvent(event) {
		dispatcher.handleQuarantineEvent(event)
		return
	}
	dispatcher.state.handleEvent(event, fromGroup, dispatcher.Clock())
}

// Lend takes up to the given tokens of an organisation out of the bucket of the VM's group,
// tells the group and returns how many, for another group that has none.
func (dispatcher *Dispatcher) Lend(organisation string, tokens float64) float64 {
	lent := dispatcher.state.lend(organisation, tokens, dispatcher.Clock())
	if lent > 0 {
		countLent(lent)
		dispatcher.Messenger.SendToGroup(messenger.Event{Kind: messenger.Admitted, Name: organisation, Tokens: lent})
	}
	return lent
}

// HandleTokens handles the answer of a VM of another group to an ask for tokens.
func (dispatcher *Dispatcher) HandleTokens(from, organisation string, tokens float64) {
	leftover := dispatcher.state.handleTokens(from, organisation, tokens, dispatcher.Clock())
	dispatcher.deposited(organisation, leftover)
}

// deposited tells the group of borrowed tokens that were added to its bucket.
func (dispatcher *Dispatcher) deposited(organisation string, tokens float64) {
	if tokens > 0 {
		dispatcher.Messenger.SendToGroup(messenger.Event{Kind: messenger.Deposited, Name: organisation, Tokens: tokens})
	}
}

// freshness returns how current the configuration is.
func (dispatcher *Dispatcher) freshness() verifier.Freshness {
	tracker := dispatcher.Tracker
	return verifier.Freshness{
		Age: dispatcher.Clock() - tracker.AsOf(), Behind: tracker.Behind(), StoreUnreachable: tracker.StoreUnreachable(),
		Unconfirmed: dispatcher.Unconfirmed != nil && dispatcher.Unconfirmed(),
	}
}

// MayServe reports whether the configuration is fresh enough to handle requests.
func (dispatcher *Dispatcher) MayServe() bool {
	return dispatcher.state.configurationPolicy().MayServe(dispatcher.freshness())
}

// mayTrustKeys reports whether the configuration is fresh enough to accept keys.
func (dispatcher *Dispatcher) mayTrustKeys() bool {
	return dispatcher.state.configurationPolicy().MayTrustKeys(dispatcher.freshness())
}

// knowsEvacuations reports whether the evacuations are known well enough to send a request.
func (dispatcher *Dispatcher) knowsEvacuations() bool {
	tracker := dispatcher.Tracker
	return dispatcher.state.configurationPolicy().MaySend(verifier.Freshness{
		Age: dispatcher.Clock() - tracker.EvacuationsAsOf(), Behind: tracker.EvacuationsBehind(), StoreUnreachable: tracker.StoreUnreachable(),
	})
}

// mayRejectUnknown reports whether the configuration is fresh enough to answer that a
// route or key is unknown.
func (dispatcher *Dispatcher) mayRejectUnknown() bool {
	return dispatcher.state.configurationPolicy().MayRejectUnknown(dispatcher.freshness())
}

// maxStartWait is how long a request waits for the start of this VM. If the store
// answers, the start takes less than a tenth of that.
const maxStartWait = 400 * time.Millisecond

// awaitStart waits until the VM has started, for at most maxStartWait.
func (dispatcher *Dispatcher) awaitStart(ctx context.Context) {
	select {
	case <-dispatcher.Started:
		return
	default:
	}
	if dispatcher.Started == nil {
		return
	}
	timer := time.NewTimer(maxStartWait)
	defer timer.Stop()
	select {
	case <-dispatcher.Started:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// await waits until the channel is closed. It returns false if the context ends first.
func await(ctx context.Context, channel <-chan struct{}) bool {
	select {
	case <-channel:
		return true
	default:
	}
	select {
	case <-channel:
		return true
	case <-ctx.Done():
		return false
	}
}
