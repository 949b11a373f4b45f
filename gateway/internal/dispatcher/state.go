package dispatcher

import (
	"maps"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"

	"godwitramp.example/core/delegator"
	"godwitramp.example/core/hedger"
	"godwitramp.example/core/indexer"
	"godwitramp.example/core/placer"
	"godwitramp.example/core/prioritizer"
	"godwitramp.example/core/quarantiner"
	"godwitramp.example/core/throttler"
	"godwitramp.example/core/verifier"
	"godwitramp.example/gateway/internal/messenger"
	"godwitramp.example/platform"
)

// state holds the state that requests share: targets, rates, retry budgets and policy. It
// is safe for concurrent use.
type state struct {
	mutex  sync.Mutex
	placer *placer.Placer
	// random takes its numbers from source.
	random *rand.Rand
	source *rand.PCG
	rates  map[string]*throttler.Bucket
	// loans are those of organisations in rates, once a request has needed one.
	loans   map[string]*loan
	budgets map[string]*throttler.Budget
	policy  Policy
	// splits are the sequences of the split routes in use, by name.
	splits map[string]*indexer.Sequence
	// groupShare is the share of the fleet's rates that belongs to the VM's group.
	// reachableFraction is the fraction of the group that this VM receives events from; it
	// spends only that fraction of groupShare.
	groupShare, reachableFraction float64
	// group, if set, goes before reachableFraction for rates and retry budgets.
	group Group
	// joined is true once the VM has found its group.
	joined bool
	// evacuations are the evacuated data centres.
	evacuations map[string]evacuation
	// coldTargets is the number of cold targets in the metrics.
	coldTargets int
	// quarantine knows the requests that crash targets.
	quarantine quarantiner.Quarantiner
	// crashes are those that this VM has found and goes on to tell the others.
	crashes []quarantiner.Run
	// prioritizer orders the requests of services with several ranks. It is nil unless the policy asks for that.
	// priorities are those of the routes at that time, by name, and polling are the services whose waiting requests
	// are being released.
	prioritizer *prioritizer.Prioritizer
	priorities  map[string]int
	polling     map[string]bool
	// paths knows which targets this VM can't reach, and which VMs may help.
	paths delegator.Delegator
	// hedges are those of services with a limit, by name.
	hedges map[string]*hedges
	// nextOffer is the index, modulo their number, of the service with which the next offers begin.
	nextOffer int
	// unknownHedges are the services with a share of their own that the configuration doesn't have, as last logged.
	unknownHedges map[string]bool
	// isCopy is true for a copy that explains decisions, whose requests aren't counted in metrics.
	isCopy bool
}

// unjoinedFraction is the fraction of a group's rates that a VM spends before it has found
// its group: that of one VM in a group of maximum size.
const unjoinedFraction = 1.0 / messenger.MaxGroup

// Policy holds the limits that apply to the fleet as a whole.
type Policy struct {
	Rates throttler.Tolerance
	// RetryRatio is the number of retries that each request of a service allows, in
	// addition to RetryExtra retries in each RetryWindow.
	RetryRatio  float64
	RetryExtra  float64
	RetryWindow time.Duration
	// TargetFloor is the share of a service's sound targets that must be in use, from 0 to 1.
	TargetFloor float64
	// BlockTime is how long a request that crashes targets is blocked first. Zero means never.
	BlockTime time.Duration
	// Hedges are the limits of hedges in RetryWindow.
	Hedges hedger.Limits
	// Prioritise is true if requests are ordered by the priorities of routes and organisations while targets are full.
	Prioritise bool
	// Warmup limits the requests that arrive at a cold target.
	Warmup placer.WarmupBounds
	// Configuration limits what may be done with a stale configuration.
	Configuration verifier.Policy
}

func (state *state) setPolicy(policy Policy) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	if !maps.Equal(state.policy.Hedges.Services, policy.Hedges.Services) {
		state.unknownHedges = nil
	}
	state.policy = policy
	state.placer.Floor = policy.TargetFloor
	state.quarantine.BlockTime = policy.BlockTime
	for _, budget := range state.budgets {
		budget.Ratio = policy.RetryRatio
	}
}

func (state *state) configurationPolicy() verifier.Policy {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return state.policy.Configuration
}

// configure applies the rates and services of a configuration. Buckets and budgets that
// exist already keep their levels.
func (state *state) configure(index *indexer.Index, now time.Duration) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	rates := make(map[string]*throttler.Bucket)
	for i := range index.Organisations {
		organisation := &index.Organisations[i]
		if organisation.Rate <= 0 {
			continue
		}
		bucket := state.rates[organisation.Name]
		if bucket == nil {
			bucket = &throttler.Bucket{}
		}
		bucket.Set(state.policy.Rates.Divide(organisation.Rate, organisation.Burst, state.groupShare), now)
		state.believe(bucket, now)
		rates[organisation.Name] = bucket
	}
	state.rates = rates
	state.dropUnusedSplits(index)
	for name := range state.loans {
		if rates[name] == nil {
			delete(state.loans, name)
		}
	}
	budgets := make(map[string]*throttler.Budget)
	for i := range index.Services {
		name := index.Services[i].Name
		budget := state.budgets[name]
		if budget == nil {
			budget = &throttler.Budget{Ratio: state.policy.RetryRatio}
		}
		budget.Set(state.policy.RetryExtra, state.policy.RetryWindow, state.groupShare, now)
		state.believeReachable(budget, now)
		budgets[name] = budget
	}
	state.budgets = budgets
	state.configurePriorities(index)
	state.configureHedges(index, now)
	state.placer.SetWarmups(warmupsOf(index), state.policy.Warmup, now)
}

// believe tells a bucket how much of the group's tokens this VM may spend.
func (state *state) believe(bucket *throttler.Bucket, now time.Duration) {
	if state.group == nil || !state.joined {
		bucket.SetShare(state.reachableFraction, now)
		return
	}
	bucket.Believe(state.group.Belief(bucket.Since(now), now), now)
}

// believeReachable tells a retry budget how much of the group's retries this VM may spend. Nothing is withheld: a
// group is busy when its targets fail, so that its VMs hear each other.
func (state *state) believeReachable(budget *throttler.Budget, now time.Duration) {
	if state.group == nil || !state.joined {
		budget.SetShare(state.reachableFraction, now)
		return
	}
	belief := state.group.Belief(budget.Since(now), now)
	belief.Heard = belief.Reachable
	budget.Believe(belief, now)
}

func (state *state) replace(targets []placer.Target, now time.Duration) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	state.placer.Replace(targets, now)
}

// setGroup sets the position of the VM's group among the groups of its data centre.
func (state *state) setGroup(position, groups int) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	state.placer.Group, state.placer.Groups = position, groups
}

// dropUnusedSplits drops the sequences of routes that aren't split any more.
func (state *state) dropUnusedSplits(index *indexer.Index) {
	split := make(map[string]bool, len(state.splits))
	for i := range index.Routes {
		if len(index.Routes[i].Shares) > 1 {
			split[index.Routes[i].Name] = true
		}
	}
	maps.DeleteFunc(state.splits, func(name string, _ *indexer.Sequence) bool { return !split[name] })
}

// setShare sets the share of the group and the fraction of it that this VM receives events
// from. The first call means that the VM has found its group.
func (state *state) setShare(groupShare, reachableFraction float64, now time.Duration) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	first := !state.joined
	state.groupShare, state.reachableFraction, state.joined = groupShare, reachableFraction, true
	state.placer.FleetShare = groupShare
	state.placer.SetReach(reachableFraction, now)
	if !first {
		return
	}
	for _, bucket := range state.rates {
		state.believe(bucket, now)
		bucket.ResetLevel(now)
	}
}

// rateExceeded is the reason of refusals because an organisation has no token left.
const rateExceeded = "rate-exceeded"

// charge takes a token of the organisation's rate and returns how long the request has to
// wait for it, or a refusal if that exceeds maxWait.
func (state *state) charge(organisation string, maxWait, now time.Duration) (time.Duration, *refusal) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	bucket := state.rates[organisation]
	if bucket == nil {
		return 0, nil
	}
	if !state.joined {
		maxWait = 0 // unknown peers may spend the same tokens
	}
	state.believe(bucket, now)
	wait, ok := bucket.Reserve(maxWait, now)
	switch {
	case ok:
		return wait, nil
	case !state.joined:
		// Not 429, as the organisation may be well within its rate.
		return 0, &refusal{status: http.StatusServiceUnavailable, reason: "group-unknown", retryAfter: otherVMRetryAfter}
	default:
		return 0, &refusal{status: http.StatusTooManyRequests, reason: rateExceeded, retryAfter: wait}
	}
}

// withholds reports whether there is a token of the organisation that this VM may spend once it has heard the
// VMs of its group.
func (state *state) withholds(organisation string, now time.Duration) bool {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	bucket := state.rates[organisation]
	return state.group != nil && state.joined && bucket != nil && bucket.Withholds(now)
}

// pick picks a target for an attempt. A retry is charged to the service's retry budget, a
// first attempt adds to it. A retryable request is placed as one that can't be retried
// while the budget is too low for a likely retry. The target and a token of its warm-up are taken only once the
// budget has granted the retry.
func (state *state) pick(info placer.PickInfo, retry bool) (placer.Target, bool) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	budget := state.budgets[info.Service]
	if budget != nil {
		state.believeReachable(budget, info.Now)
	}
	state.believeWarmups(info.Service, info.Now)
	info.Retryable = info.Retryable && (budget == nil || budget.AffordsLikelyRetry(info.Now))
	target, ok := state.placer.Peek(info, state.random)
	if !ok {
		return placer.Target{}, false
	}
	switch {
	case budget == nil:
	case !retry:
		budget.Deposit(info.Now)
	case !budget.Withdraw(info.Now):
		return placer.Target{}, false
	}
	state.placer.Take(target, info.Now)
	state.observeLoad(info.Service, info.Now)
	if !state.isCopy && state.placer.Cold(target.ID, info.Now) {
		countColdRequest()
	}
	return target, true
}

// pickService chooses the service of a request on the route. Without a split it takes no
// number of the route's sequence.
func (state *state) pickService(route *indexer.Route) string {
	if len(route.Shares) == 1 {
		return route.PickService(0)
	}
	state.mutex.Lock()
	defer state.mutex.Unlock()
	if state.splits == nil {
		state.splits = make(map[string]*indexer.Sequence)
	}
	if state.splits[route.Name] == nil {
		state.splits[route.Name] = &indexer.Sequence{Point: state.random.Float64()}
	}
	return route.PickService(state.splits[route.Name].Next())
}

func (state *state) usable(target placer.Target, now time.Duration) bool {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return state.placer.Usable(target, now)
}

// coolDown records that the target asked this VM for a cool-down, and returns for how long
// it gets no requests.
func (state *state) coolDown(target placer.Target, requested, now time.Duration) time.Duration {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return state.placer.CoolDown(target, requested, now) - now
}

// retryAfterJitter is the maximum jitter as a fraction of Retry-After, so that callers don't
// all return at once to the target whose cool-down ends first.
const retryAfterJitter = 0.5

// wait returns a refusal for a scope all of whose targets are cooling down or have no token of
// their limits left, with the time until the first takes requests again. It returns nil for
// others.
func (state *state) wait(scope scope, now time.Duration) *refusal {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	wait, limited, ok := state.placer.Wait(scope.service, scope.homes, now)
	if !ok {
		return nil
	}
	refusal := refusalQuiet
	if limited {
		refusal = refusalLimited
		if !state.isCopy && state.placer.AnyCold(scope.service, now) {
			countColdRefusal()
		}
	}
	refusal.retryAfter = time.Duration((1 + retryAfterJitter*state.random.Float64()) * float64(max(otherVMRetryAfter, wait)))
	return &refusal
}

// limit applies the limit of an answer to an attempt that started at a time. It returns the event
// to tell the other VMs, or nil, and whether the limit is new or has changed or ended.
func (state *state) limit(target placer.Target, reply platform.Reply, startedAt, now time.Duration) (*messenger.Event, bool) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	event := messenger.Event{Kind: messenger.TargetLimited, Name: target.ID, Incarnation: target.Incarnation, Limit: reply.Limit}
	if reply.Limited {
		tell, changed := state.placer.Limit(target, reply.Limit, now)
		if !tell {
			return nil, changed
		}
		return &event, changed
	}
	if reply.OtherTarget || reply.NotRun || reply.LimitMalformed || !state.placer.Unlimit(target, startedAt) {
		return nil, false
	}
	event.Kind = messenger.TargetUnlimited
	return &event, true
}

// limitOf returns the limit that a target has named, or false.
func (state *state) limitOf(target string) (float64, bool) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return state.placer.LimitOf(target)
}

// done records the end of an attempt, and returns the target's suspicion before and after
// that.
func (state *state) done(target placer.Target, outcome placer.Outcome, now time.Duration) (before, after float64) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	before = state.placer.Suspicion(target.ID, now)
	state.placer.Done(target, outcome, now)
	state.observeLoad(target.Service, now)
	if outcome == placer.Good {
		state.placer.RecordSuccess(target.Service, now)
	}
	return before, state.placer.Suspicion(target.ID, now)
}

// markLeaving records that the target announced that it is leaving, and reports whether
// that was unknown.
func (state *state) markLeaving(target placer.Target) bool {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return state.placer.MarkLeaving(target.ID, target.Incarnation)
}

// degraded reports whether the service counts as degraded.
func (state *state) degraded(service string, now time.Duration) bool {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return state.placer.Degraded(service, now)
}

// report returns what the VMs outside the group are told of a failure.
func (state *state) report(failure placer.Failure, now time.Duration) placer.Report {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return state.placer.Report(failure, now)
}

func (state *state) recordFailure(service string, now time.Duration) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	state.placer.RecordFailure(service, now)
}

// handleEvent applies an event of another VM. AttemptOutcome, FleetFailure and those of a target's
// own signals count from any VM of the fleet, all others only from this VM's group.
func (state *state) handleEvent(event messenger.Event, fromGroup bool, now time.Duration) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	switch {
	case event.Kind == messenger.AttemptOutcome:
		state.placer.PeerOutcome(event.Name, event.Outcome, now)
	case event.Kind == messenger.TargetLeaving:
		state.placer.MarkLeaving(event.Name, event.Incarnation)
	case event.Kind == messenger.TargetLimited:
		state.placer.PeerLimit(event.Name, event.Incarnation, event.Limit, now)
	case event.Kind == messenger.TargetUnlimited:
		state.placer.PeerUnlimit(event.Name, event.Incarnation)
	case event.Kind == messenger.TargetCold:
		state.placer.ReportWarmup(event.Name, event.Incarnation, event.Remaining, now)
	case event.Kind == messenger.FleetFailure:
		state.placer.RecordFleetFailure(event.Service, event.Load, now)
	case event.Kind == messenger.HedgesOffered:
		state.handleOffer(event, fromGroup, now)
	case !fromGroup:
	case event.Kind == messenger.Admitted:
		if bucket := state.rates[event.Name]; bucket != nil {
			bucket.Debit(tokensOf(event), now)
		}
	case event.Kind == messenger.Deposited:
		if bucket := state.rates[event.Name]; bucket != nil {
			bucket.Add(event.Tokens, now)
		}
	case event.Kind == messenger.AttemptStarted:
		state.placer.PeerStarted(event.Name, now)
		state.observeLoad(event.Service, now)
		state.observeSent(event, now)
		if budget := state.budgets[event.Service]; budget != nil {
			budget.Deposit(now)
		}
		state.handleHedgeEvent(event, now)
	case event.Kind == messenger.RetryStarted:
		state.placer.PeerStarted(event.Name, now)
		state.observeLoad(event.Service, now)
		if budget := state.budgets[event.Service]; budget != nil {
			budget.Debit(now)
		}
		state.handleHedgeEvent(event, now)
	case event.Kind == messenger.AttemptDone:
		state.handleHedgeEvent(event, now)
		state.placer.PeerDone(event.Name, event.Outcome, now)
		state.observeLoad(event.Service, now)
		if event.Outcome == placer.Good {
			state.placer.RecordSuccess(event.Service, now)
		}
	case event.Kind == messenger.RequestFailed:
		state.placer.RecordFailure(event.Service, now)
	}
}

// tokensOf returns the tokens of an Admitted event. VMs of earlier versions don't state
// them.
func tokensOf(event messenger.Event) float64 {
	if !(event.Tokens > 0) {
		return 1
	}
	return event.Tokens
}
