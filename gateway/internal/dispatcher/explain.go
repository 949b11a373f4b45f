package dispatcher

import (
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"godwitramp.example/core/explainer"
	"godwitramp.example/core/hedger"
	"godwitramp.example/core/indexer"
	"godwitramp.example/core/placer"
	"godwitramp.example/core/throttler"
	"godwitramp.example/gateway/internal/receiver"
)

// Explain returns what would be done with a request now. It makes the decision itself on a copy of the state, and
// changes nothing.
func (dispatcher *Dispatcher) Explain(query explainer.Query) explainer.Explanation {
	explanation := explainer.Explanation{Query: query, DataCentre: dispatcher.Locality.DataCentre}
	index := dispatcher.Tracker.Index()
	if index == nil {
		explanation.Rejection = rejection(&refusal{status: http.StatusServiceUnavailable, reason: "configuration-unknown", retryAfter: otherVMRetryAfter})
		return explanation
	}
	explanation.Configuration = index.Version
	explanation.Age = explainer.Milliseconds(dispatcher.Clock() - dispatcher.Tracker.AsOf())
	call := &receiver.Call{Request: &http.Request{Method: query.Method, Host: query.Host}, Target: query.Path, Received: time.Now()}
	job := &job{call: call, index: index, route: routeOf(index, call)}
	if query.Organisation != "" {
		i := slices.IndexFunc(index.Organisations, func(organisation indexer.Organisation) bool { return organisation.Name == query.Organisation })
		if i < 0 {
			reason := explainer.OrganisationUnknown
			if index.Organisation(query.Organisation) != nil {
				reason, explanation.Organisation = explainer.OrganisationIsKey, ""
			}
			explanation.Rejection = rejection(&refusal{status: http.StatusUnauthorized, reason: reason})
			return explanation
		}
		job.organisation = &index.Organisations[i]
	}
	shadow := dispatcher.state.shadow(job.route, job.organisation, dispatcher.Clock())
	refusal := dispatcher.admitJob(job, shadow)
	describeJob(&explanation, job)
	if refusal == nil {
		refusal = dispatcher.explainJob(&explanation, job, shadow)
	}
	if refusal != nil {
		explanation.Rejection = rejection(refusal)
	}
	return explanation
}

// describeJob adds what the configuration says about the request.
func describeJob(explanation *explainer.Explanation, job *job) {
	if job.route == nil {
		return
	}
	explanation.Route, explanation.Service, explanation.Idempotent = job.route.Name, job.service, job.route.Idempotent
	explanation.HomeRegions = job.homes
	explanation.Priority = &explainer.Priority{Route: job.route.Priority}
	if job.organisation != nil && job.organisation.HasPriority {
		explanation.Priority.Organisation = &job.organisation.Priority
	}
}

// explainJob adds what would be done with an admitted request, in the order of handler.serve. The shadow is
// changed.
func (dispatcher *Dispatcher) explainJob(explanation *explainer.Explanation, job *job, shadow *state) *refusal {
	handler := &handler{dispatcher: dispatcher, job: job}
	scope := handler.scope()
	if scope.isEmpty() {
		return &refusalNoHome
	}
	if refusal := explainRate(explanation, job, shadow, dispatcher.Clock()); refusal != nil {
		return refusal
	}
	info := handler.pickInfo()
	explanation.Candidates = candidates(shadow.placer, info)
	if dispatcher.Forwarder != nil && dispatcher.state.delegates(scope, info.Now) {
		explanation.PassedOn = true
		return nil
	}
	target, ok := shadow.pick(info, false)
	if !ok {
		if refusal := shadow.wait(scope, info.Now); refusal != nil {
			return refusal
		}
		return &refusalNoTarget
	}
	explanation.Target = target.ID
	shadow.countRequest(info.Service, info.Now)
	handler.attempts, handler.reached, handler.tried = 1, 1, []string{target.ID}
	position := *shadow.source // of two that exclude each other, each is decided with the next numbers
	explanation.Hedge = dispatcher.explainHedge(handler, target, shadow)
	*shadow.source = position
	explanation.Retry = explainRetry(handler, target, shadow)
	return nil
}

// explainRate adds what is left of the organisation's rate on this VM, which may borrow more from others.
func explainRate(explanation *explainer.Explanation, job *job, shadow *state, now time.Duration) *refusal {
	if job.organisation == nil || job.organisation.Rate <= 0 {
		return nil
	}
	explanation.Rate = &explainer.Rate{Organisation: job.organisation.Name, PerSecond: job.organisation.Rate}
	if bucket := shadow.rates[job.organisation.Name]; bucket != nil {
		shadow.believe(bucket, now)
		explanation.Rate.Tokens = bucket.Level(now)
	}
	maxWait := throttler.MaxWait(job.route.LatencyObjective, time.Until(job.deadline))
	wait, refusal := shadow.charge(job.organisation.Name, min(maxWait, throttler.ShortWait), now)
	if refusal != nil && refusal.reason == rateExceeded {
		wait, refusal = shadow.charge(job.organisation.Name, maxWait, now)
	}
	explanation.Rate.Wait = explainer.Milliseconds(wait)
	return refusal
}

// explainHedge returns what happens while the first attempt takes long.
func (dispatcher *Dispatcher) explainHedge(handler *handler, first placer.Target, shadow *state) *explainer.Attempt {
	job := handler.job
	maxDelay := time.Duration(hedgeFraction * float64(job.route.LatencyObjective))
	if !job.route.Idempotent {
		return nil
	}
	if !shadow.limitsHedges(job.service) {
		if maxDelay <= 0 {
			return nil
		}
		attempt := &explainer.Attempt{Delay: explainer.Milliseconds(dispatcher.latency.hedgeDelay(job.service, maxDelay)), Denied: string(hedger.NoTarget)}
		if target, ok := shadow.placer.Peek(handler.pickInfo(), shadow.random); ok {
			attempt.Target, attempt.Denied = target.ID, ""
		}
		return attempt
	}
	delay, ok := shadow.hedgeDelay(job.service, job.route.Name, maxDelay, dispatcher.Clock())
	if !ok {
		return nil
	}
	attempt := &explainer.Attempt{Delay: explainer.Milliseconds(delay), Denied: string(hedger.NoTarget)}
	if info, ok := handler.hedgeInfo(first); ok {
		target, denial := shadow.decideHedge(info)
		attempt.Denied = string(denial)
		if denial == hedger.None {
			attempt.Target = target.ID
		}
	}
	return attempt
}

// retryBudgetExhausted is why a retry that has a target is not made.
const retryBudgetExhausted = "retry-budget"

// explainRetry returns what happens after a failure of the first attempt, without the wait for another VM's
// answer. A request that isn't idempotent is retried only if it certainly did not run.
func explainRetry(handler *handler, first placer.Target, shadow *state) *explainer.Attempt {
	info := handler.pickInfo()
	outcome := placer.Failed
	if !handler.job.route.Idempotent {
		outcome = placer.Full
	}
	shadow.placer.Done(first, outcome, info.Now)
	position := *shadow.source
	_, ok := shadow.placer.Peek(info, shadow.random)
	*shadow.source = position
	if !ok {
		return &explainer.Attempt{Denied: string(hedger.NoTarget)}
	}
	target, ok := shadow.pick(info, true)
	if !ok {
		return &explainer.Attempt{Denied: retryBudgetExhausted}
	}
	return &explainer.Attempt{Target: target.ID}
}

// candidates returns the targets of the service for an operator.
func candidates(placer *placer.Placer, info placer.PickInfo) []explainer.Candidate {
	var list []explainer.Candidate
	for _, candidate := range placer.Candidates(info) {
		shown := explainer.Candidate{
			Target: candidate.ID, DataCentre: candidate.DataCentre, Region: candidate.Region, Usable: candidate.Eligible, Cost: candidate.Cost,
			Suspicion: candidate.Suspicion, InFlight: candidate.InFlight, Slots: candidate.Slots,
		}
		for _, reason := range candidate.Reasons {
			shown.Reasons = append(shown.Reasons, explainer.Reason{
				Name: reason.Name, Age: explainer.Milliseconds(reason.Age), Remaining: explainer.Milliseconds(reason.Remaining),
			})
		}
		list = append(list, shown)
	}
	return list
}

func rejection(refusal *refusal) *explainer.Rejection {
	return &explainer.Rejection{Status: refusal.status, Reason: refusal.reason, RetryAfter: explainer.Milliseconds(refusal.retryAfter)}
}

// shadowState is a copy of a state.
type shadowState = state

// shadow returns a copy of the state that decides about a request on the route, nil if there is none, of an
// organisation, nil if it has none. Decisions of the copy are those that the state would make, chance included, and
// change nothing in it.
func (state *state) shadow(route *indexer.Route, organisation *indexer.Organisation, now time.Duration) *state {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	source := *state.source
	copied := &shadowState{
		random: rand.New(&source), source: &source, policy: state.policy, groupShare: state.groupShare, reachableFraction: state.reachableFraction,
		group: state.group, joined: state.joined, rates: make(map[string]*throttler.Bucket), budgets: make(map[string]*throttler.Budget),
		splits: make(map[string]*indexer.Sequence), hedges: make(map[string]*hedges), isCopy: true,
	}
	if organisation != nil {
		if bucket := state.rates[organisation.Name]; bucket != nil {
			own := *bucket
			copied.rates[organisation.Name] = &own
		}
	}
	if route == nil {
		copied.placer = state.placer.Snapshot(nil)
		return copied
	}
	sequence := state.splits[route.Name]
	if sequence != nil {
		own := *sequence
		copied.splits[route.Name] = &own
	}
	var services []string
	for _, share := range route.Shares {
		services = append(services, share.Service)
		if budget := state.budgets[share.Service]; budget != nil {
			own := *budget
			copied.budgets[share.Service] = &own
		}
		if limited := state.hedges[share.Service]; limited != nil {
			own := *limited
			own.latencies = limited.latencies.Clone(now)
			copied.hedges[share.Service] = &own
		}
	}
	copied.placer = state.placer.Snapshot(services)
	return copied
}
