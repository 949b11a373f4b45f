package dispatcher

import (
	"context"
	"hash/fnv"
	"maps"
	"slices"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"godwitramp.example/core/assessor"
	"godwitramp.example/core/hedger"
	"godwitramp.example/core/indexer"
	"godwitramp.example/core/placer"
	"godwitramp.example/core/throttler"
	"godwitramp.example/gateway/internal/messenger"
)

// hedges is what decides about the hedges of a service with a limit.
type hedges struct {
	share     float64
	budget    hedger.Budget
	latencies *hedger.Latencies
	// believedAt is when the budget was last told which VMs of the group are heard.
	believedAt time.Duration
	load       hedger.Load
}

// configureHedges applies the limits of the policy to the services of a configuration.
func (state *state) configureHedges(index *indexer.Index, now time.Duration) {
	limited := make(map[string]*hedges)
	routes := make(map[string][]string)
	for i := range index.Routes {
		route := &index.Routes[i]
		for _, share := range route.Shares {
			if route.Idempotent {
				routes[share.Service] = append(routes[share.Service], route.Name)
			}
		}
	}
	for i := range index.Services {
		name := index.Services[i].Name
		share, ok := state.policy.Hedges.Of(name)
		if !ok {
			continue
		}
		own := state.hedges[name]
		if own == nil || own.budget.Window != state.policy.RetryWindow {
			own = &hedges{latencies: hedger.NewLatencies(), budget: hedger.Budget{Window: state.policy.RetryWindow}, believedAt: now}
		}
		own.share, own.budget.Share = share, share
		own.latencies.SetRoutes(routes[name])
		own.budget.Centres = max(1, len(state.placer.Regions))
		own.budget.Place(state.fleetPosition(name))
		state.believeHedges(own, now)
		limited[name] = own
	}
	state.hedges = limited
}

// newUnknownHedges returns the services with a share of their own that the configuration doesn't have, without those
// of the last call.
func (state *state) newUnknownHedges(index *indexer.Index) []string {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	unknown := make(map[string]bool)
	var added []string
	for _, service := range slices.Sorted(maps.Keys(state.policy.Hedges.Services)) {
		if index.Service(service) != nil {
			continue
		}
		if unknown[service] = true; !state.unknownHedges[service] {
			added = append(added, service)
		}
	}
	state.unknownHedges = unknown
	return added
}

// logUnknownHedges logs the services of the setting that are unknown, once until the setting or the services change.
func (dispatcher *Dispatcher) logUnknownHedges(index *indexer.Index) {
	for _, service := range dispatcher.state.newUnknownHedges(index) {
		dispatcher.Log.WithFields(logrus.Fields{"service": service, "configuration": index.Version}).Warn("hedges-service-unknown")
	}
}

// groupNumbering numbers the groups of the fleet. The numbers are shifted by a hash of the service, so that another group
// gets the offers of all others for each service. All data centres are taken to have as many groups as the VM's own.
type groupNumbering struct {
	centres []string
	groups  int
	shift   int
}

// groupNumbering returns the numbering of the fleet's groups for a service.
func (state *state) groupNumbering(service string) groupNumbering {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(service)) // never fails
	centres := slices.Sorted(maps.Keys(state.placer.Regions))
	if len(centres) == 0 {
		centres = []string{state.placer.Locality.DataCentre}
	}
	return groupNumbering{centres: centres, groups: max(1, state.placer.Groups), shift: int(hash.Sum32() >> 1)}
}

// number returns the number of a group by its data centre and its position there.
func (numbering groupNumbering) number(dataCentre string, position int) int {
	centre, _ := slices.BinarySearch(numbering.centres, dataCentre)
	return (position+numbering.shift)%numbering.groups*len(numbering.centres) + (centre+numbering.shift)%len(numbering.centres)
}

// group returns the group with a number.
func (numbering groupNumbering) group(number int) (dataCentre string, position int) {
	back := func(shifted, count int) int { return (shifted - numbering.shift%count + count) % count }
	centres := len(numbering.centres)
	return numbering.centres[back(number%centres, centres)], back(number/centres, numbering.groups)
}

// fleetPosition returns the number of the VM's group among the groups of the fleet, and how many there are.
func (state *state) fleetPosition(service string) (index, groups int) {
	numbering := state.groupNumbering(service)
	return numbering.number(state.placer.Locality.DataCentre, state.placer.Group), numbering.groups * len(numbering.centres)
}

// maxOffers is the number of services in the offers of a heartbeat. The events of them fit in one datagram.
const maxOffers = 64

// HedgeOffers returns the hedges within limits that the VM's group leaves to others. They are charged to it at once. If
// more services have a limit than fit, they take turns.
func (dispatcher *Dispatcher) HedgeOffers() []messenger.Offer {
	return dispatcher.state.hedgeOffers(dispatcher.Clock())
}

func (state *state) hedgeOffers(now time.Duration) []messenger.Offer {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	services := slices.Sorted(maps.Keys(state.hedges))
	var offers []messenger.Offer
	for i := range min(maxOffers, len(services)) {
		service := services[(state.nextOffer+i)%len(services)]
		hedges := state.hedges[service]
		offer, ok := hedges.budget.Offer(state.believeHedges(hedges, now), now)
		if !ok {
			continue
		}
		numbering := state.groupNumbering(service)
		own := numbering.number(state.placer.Locality.DataCentre, state.placer.Group)
		successor, _ := hedger.Successor(own, len(numbering.centres))
		dataCentre, position := numbering.group(successor)
		offers = append(offers, messenger.Offer{DataCentre: dataCentre, Position: position, Event: messenger.Event{
			Kind: messenger.HedgesOffered, Name: strconv.Itoa(own), Service: service, Tokens: offer.Hedges, Load: offer.Requests, Limit: offer.Kept,
		}})
	}
	state.nextOffer += maxOffers
	return offers
}

// handleOffer applies an offer of the VM's own group, or of one that offers to it.
func (state *state) handleOffer(event messenger.Event, fromGroup bool, now time.Duration) {
	hedges := state.hedges[event.Service]
	from, err := strconv.Atoi(event.Name)
	if hedges == nil || err != nil {
		return
	}
	offer := hedger.Offer{Hedges: event.Tokens, Requests: event.Load, Kept: event.Limit}
	if own, _ := state.fleetPosition(event.Service); from != own {
		hedges.budget.Receive(from, offer, now)
	} else if fromGroup {
		hedges.budget.Offered(offer, now)
	}
}

// believeHedges tells a service's budget which VMs of the group are heard, and returns the fraction heard a
// moment ago.
func (state *state) believeHedges(hedges *hedges, now time.Duration) (heard float64) {
	belief := throttler.Belief{Reachable: state.reachableFraction, Recent: state.reachableFraction}
	switch {
	case !state.joined:
		return 0 // unknown VMs may send hedges
	case state.group != nil:
		belief = state.group.Belief(hedges.believedAt, now)
	}
	hedges.believedAt = now
	hedges.budget.SetReach(max(0, belief.Reachable-belief.Lost), now)
	return belief.Recent
}

// limitsHedges reports whether the service's hedges have a limit.
func (state *state) limitsHedges(service string) bool {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return state.hedges[service] != nil
}

// hedgeDelay returns when a request to a service with a limit is hedged, at most maxDelay if that is above 0. It
// returns false if it isn't.
func (state *state) hedgeDelay(service, route string, maxDelay, now time.Duration) (time.Duration, bool) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	hedges := state.hedges[service]
	if hedges == nil || hedges.share <= 0 {
		return 0, false
	}
	return hedges.latencies.Delay(route, hedger.Quantile(hedges.share), maxDelay, now)
}

// observeLatency adds a latency to a service with a limit, and reports whether it has one.
func (state *state) observeLatency(service, route string, latency, now time.Duration) bool {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	hedges := state.hedges[service]
	if hedges == nil || hedges.share <= 0 {
		return false
	}
	hedges.latencies.Observe(route, latency, now)
	return true
}

// countRequest counts a request of this VM, and reports whether its service has a limit of hedges.
func (state *state) countRequest(service string, now time.Duration) bool {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	state.addRequest(service, now)
	return state.hedges[service] != nil
}

func (state *state) addRequest(service string, now time.Duration) {
	if hedges := state.hedges[service]; hedges != nil {
		state.believeHedges(hedges, now)
		hedges.budget.Request(now)
		inFlight, _, _ := state.placer.Room(service, nil, 0, now)
		hedges.load.Observe(inFlight - 1) // the request itself is one of them
	}
}

// decideHedge returns the target of a hedge, or why none may be sent. It takes nothing.
func (state *state) decideHedge(info placer.PickInfo) (placer.Target, hedger.Denial) {
	hedges := state.hedges[info.Service]
	if hedges == nil {
		return placer.Target{}, hedger.Limit
	}
	heard := state.believeHedges(hedges, info.Now)
	inFlight, slots, rejected := state.placer.Room(info.Service, nil, hedger.RejectedTime, info.Now)
	permitted := hedger.Room{}
	permitted.InFlight, permitted.Slots, permitted.Rejected = state.placer.Room(info.Service, info.Regions, hedger.RejectedTime, info.Now)
	inputs := hedger.Inputs{
		Room:        hedger.Room{InFlight: inFlight, Usual: hedges.load.Mean(), Slots: slots, GroupShare: state.groupShare, Rejected: rejected},
		Permitted:   permitted,
		WithinLimit: hedges.budget.Allows(heard, info.Now), AffordsRetry: true,
	}
	if budget := state.budgets[info.Service]; budget != nil {
		state.believeReachable(budget, info.Now)
		inputs.AffordsRetry = budget.AffordsHedge(info.Now)
	}
	target, ok := state.placer.Peek(info, state.random)
	inputs.Target = ok
	return target, hedger.Decide(inputs)
}

// pickHedge picks the target of a hedge and charges it to the limit and to the retry budget, or returns why none
// may be sent.
func (state *state) pickHedge(info placer.PickInfo) (placer.Target, hedger.Denial) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	target, denial := state.decideHedge(info)
	if denial != hedger.None {
		return placer.Target{}, denial
	}
	if budget := state.budgets[info.Service]; budget != nil && !budget.Withdraw(info.Now) {
		return placer.Target{}, hedger.RetryBudget
	}
	state.placer.Take(target, info.Now)
	state.hedges[info.Service].budget.Hedge(info.Now)
	return target, hedger.None
}

// hedgeEnded counts the end of a hedge.
func (state *state) hedgeEnded(service string, now time.Duration) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	if hedges := state.hedges[service]; hedges != nil {
		hedges.budget.HedgeEnded(now)
	}
}

// handleHedgeEvent applies what an event of a VM of the group says about the hedges of a service.
func (state *state) handleHedgeEvent(event messenger.Event, now time.Duration) {
	hedges := state.hedges[event.Service]
	if hedges == nil {
		return
	}
	switch {
	case event.Kind == messenger.AttemptStarted && !event.Again:
		state.addRequest(event.Service, now)
	case event.Kind == messenger.RetryStarted && event.Hedge:
		hedges.budget.Hedge(now)
	case event.Kind == messenger.AttemptDone && event.Hedge:
		hedges.budget.HedgeEnded(now)
	case event.Kind == messenger.AttemptDone && event.Latency > 0:
		hedges.latencies.Observe(event.Route, event.Latency, now)
	}
}

// hedging is the hedge of one request.
type hedging struct {
	// limited is true if the service has a limit of hedges, and delay the time after which a request is hedged.
	limited bool
	delay   time.Duration
	timer   *time.Timer
	// sent is the hedge, nil if none was sent.
	sent *attempt
	// withheld is true if it was stopped before it was written.
	withheld bool
	// denied is why the hedge was not sent at first.
	denied hedger.Denial
}

// startHedging sets the timer that fires when the request should be hedged.
func (handler *handler) startHedging() {
	hedging, job, dispatcher := &handler.hedging, handler.job, handler.dispatcher
	if hedging.limited = job.route.Idempotent && dispatcher.state.limitsHedges(job.service); !hedging.limited {
		hedging.timer = handler.hedgeTimer()
		return
	}
	maxDelay := time.Duration(hedgeFraction * float64(job.route.LatencyObjective))
	delay, ok := dispatcher.state.hedgeDelay(job.service, job.route.Name, maxDelay, dispatcher.Clock())
	hedging.delay, hedging.timer = max(hedger.MinDelay, delay), time.NewTimer(delay)
	if !ok {
		hedging.timer.Stop()
	}
}

// hedge sends the hedge that is due. If it isn't allowed, the timer fires again: others may be decided by then, and
// the slowest requests need it most.
func (handler *handler) hedge(ctx context.Context) {
	hedging, dispatcher := &handler.hedging, handler.dispatcher
	if !hedging.limited {
		handler.startAttempt(ctx)
		return
	}
	if handler.crashes > 0 {
		return // it may be the cause, and would run at two more targets at once
	}
	if ctx.Err() != nil || len(handler.flying) != 1 || handler.flying[0].peer != "" || dispatcher.refuseBlocked(handler.job) != nil || handler.outOfReach() {
		hedging.timer.Reset(hedging.delay)
		return
	}
	if early := hedging.delay - time.Since(handler.flying[0].launched); early > 0 { // it is a retry
		hedging.timer.Reset(early)
		return
	}
	info, ok := handler.hedgeInfo(handler.flying[0].target)
	target, denial := placer.Target{}, hedger.NoTarget
	if ok {
		target, denial = dispatcher.state.pickHedge(info)
	}
	if denial != hedger.None {
		if hedging.denied == hedger.None {
			hedging.denied = denial
			countHedgeDenied(denial)
		}
		hedging.timer.Reset(hedging.delay)
		return
	}
	countHedge()
	hedging.sent = handler.launch(ctx, info, target, messenger.Event{Kind: messenger.RetryStarted, Hedge: true})
}

// hedgeInfo describes the hedge beside an attempt at a target for the placer. It returns false if the request may not
// reach another target.
func (handler *handler) hedgeInfo(first placer.Target) (placer.PickInfo, bool) {
	info := handler.pickInfo()
	info.Hedge, info.Retryable, info.InUse = true, false, []string{first.DataCentre}
	return info, !info.RetryTried && handler.attempts < handler.job.targets+maxExtraAttempts
}

// outcome returns the value of the log field "hedge", "" if the request was not due for one.
func (hedging *hedging) outcome(delivered *attempt) string {
	switch {
	case hedging.sent != nil && hedging.sent == delivered:
		return "won"
	case hedging.withheld:
		return assessor.Withheld
	case hedging.sent != nil:
		return "lost"
	case hedging.denied != hedger.None:
		return string(hedging.denied)
	}
	return ""
}

// observe adds the latency of an attempt to those that decide when requests are hedged, and adds it to the event.
// An attempt that was cancelled for a hedge, or timed out, took longer than that. Hedges don't count: only
// the quickest of them are known.
func (attempt *attempt) observe(event *messenger.Event, latency time.Duration) {
	dispatcher, job := attempt.dispatcher, attempt.job
	if attempt.hedge {
		event.Hedge = true
		dispatcher.state.hedgeEnded(job.service, dispatcher.Clock())
		return
	}
	lost := attempt.verdict.Reason == assessor.Cancelled && job.answered.Load() || attempt.verdict.Outcome == placer.Slow
	if !job.route.Idempotent || attempt.verdict.Outcome != placer.Good && !lost {
		return
	}
	if dispatcher.state.observeLatency(job.service, job.route.Name, latency, dispatcher.Clock()) {
		event.Latency, event.Route = latency, job.route.Name
	}
}
