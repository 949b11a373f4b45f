package dispatcher

import (
	"context"
	"errors"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"godwitramp.example/core/assessor"
	"godwitramp.example/core/drainer"
	"godwitramp.example/core/placer"
	"godwitramp.example/core/prioritizer"
	"godwitramp.example/core/throttler"
	"godwitramp.example/gateway/internal/messenger"
	"godwitramp.example/gateway/internal/receiver"
	"godwitramp.example/shell/recoverer"
	"godwitramp.example/shell/timer"
)

// Serve handles one request and returns its answer. It is safe for concurrent use.
func (dispatcher *Dispatcher) Serve(ctx context.Context, call *receiver.Call) receiver.Reply {
	dispatcher.awaitStart(ctx)
	job, refused := dispatcher.admit(call)
	if refused != nil {
		countAnswer(refused.reason, refused.status, time.Since(call.Received))
		dispatcher.logRefusal(call, refused)
		return refused.reply()
	}
	handler := &handler{dispatcher: dispatcher, job: job, results: make(chan *attempt, job.targets+maxExtraAttempts)}
	reply := handler.serve(ctx)
	reply.Targets, reply.OutOfReach = len(handler.tried), handler.reason == refusalIsolated.reason
	handler.reportFailure(reply)
	countAnswer(handler.reason, reply.Status, time.Since(call.Received))
	handler.log(ctx, reply)
	return reply
}

// handler is the state of one admitted request.
type handler struct {
	dispatcher *Dispatcher
	job        *job
	results    chan *attempt

	// ticket is that of a request at a service with several ranks.
	ticket *prioritizer.Ticket
	// rateWait is how long the request waited for a token of its organisation's rate.
	rateWait time.Duration
	// lenders are the VMs of other groups that lent tokens while the request waited.
	lenders []string
	// tried are the IDs of the targets that an attempt was sent to, without those that
	// could not be reached.
	tried       []string
	unreachable []string
	// repeatable are those of tried that have answered the last attempt themselves. Another target may be behind the
	// address of one that has not, and would receive the request as a further one.
	repeatable []string
	// addresses are those that an attempt was sent to, for the log. Targets may be replaced behind them.
	addresses []string
	attempts  int
	// degraded is true if the service counted as degraded before an attempt.
	degraded bool
	// reached is the number of attempts that may have reached a target.
	reached  int
	inFlight int
	// failedLate is the number of attempts with the outcome placer.FailedLate.
	failedLate int
	// mayHaveRun is true once a target may have run the request.
	mayHaveRun bool
	// delivered is the attempt whose answer was forwarded to the caller.
	delivered *attempt
	// failure is an attempt that the target answered with a failure of its own. The
	// answer is forwarded if no other attempt succeeds.
	failure     *attempt
	lastVerdict assessor.Verdict
	// crashes is the number of attempts during which the target crashed.
	crashes int
	// peers are the addresses of the VMs that the request was passed on to, and via is the one whose
	// answer was delivered.
	peers []string
	via   string
	// forwarded is the number of targets to which these VMs may have sent the request, and helpless the
	// number of those VMs that can't reach any or could not be reached.
	forwarded, helpless int
	// last is the attempt that ended last.
	last *attempt
	// flying are the attempts in flight.
	flying []*attempt
	// counted is true once the request was counted for the limit of hedges, and limited if there is one.
	counted, limited bool
	hedging          hedging

	reason string
}

// reportFailure records a request that was refused or failed, in this VM and its group, and in
// the fleet if it was meant for a target. What the VM's stop ended is no failure.
func (handler *handler) reportFailure(reply receiver.Reply) {
	failed := reply.Status >= http.StatusInternalServerError || reply.Status == http.StatusTooManyRequests
	stopped := handler.reason == refusalStopping.reason || handler.reason == refusalGivenUp.reason
	if reply.Abort || stopped || !failed || handler.reason == blockedReason || handler.reason == refusalNoHome.reason {
		return
	}
	if len(handler.peers) > 0 && handler.mayHaveRun || handler.reason == refusalIsolated.reason {
		return // another VM reports it
	}
	handler.dispatcher.state.recordFailure(handler.job.service, handler.dispatcher.Clock())
	handler.dispatcher.Messenger.SendToGroup(messenger.Event{Kind: messenger.RequestFailed, Service: handler.job.service})
	if handler.attempts == 0 && handler.reason != refusalNoTarget.reason || handler.reason == refusalQuiet.reason || handler.reason == refusalLimited.reason {
		return
	}
	failure, target := placer.Failure{Service: handler.job.service, Outcome: placer.Unknown}, ""
	if handler.last != nil && !handler.job.route.Idempotent {
		failure, target = handler.last.failure(), handler.last.target.ID
	}
	failure.Lost = true
	handler.dispatcher.report(failure, target)
}

var (
	// refusalNoTarget is the answer if no target can take a request.
	refusalNoTarget = refusal{status: http.StatusServiceUnavailable, reason: "no-target", retryAfter: targetsRetryAfter}
	// refusalQuiet is the answer if all targets are cooling down, which goes before the trials
	// of idle targets. Its retryAfter is the time until the first ends.
	refusalQuiet = refusal{status: http.StatusServiceUnavailable, reason: "targets-quiet"}
	// refusalLimited is the answer if no target has a token of its limit left. Its retryAfter is
	// the time until the first has one.
	refusalLimited = refusal{status: http.StatusServiceUnavailable, reason: "targets-limited"}
)

// hedgeFraction is the fraction of the latency objective after which an idempotent request
// is hedged at the latest.
const hedgeFraction = 0.7

func (handler *handler) serve(parent context.Context) receiver.Reply {
	ctx, cancel := context.WithDeadline(parent, handler.job.deadline)
	defer cancel()
	if handler.scope().isEmpty() {
		return handler.refuse(refusalNoHome)
	}
	if !handler.job.route.Idempotent && !await(ctx, handler.job.call.Turn) {
		if givenUp(ctx) {
			return handler.refuse(refusalStopping)
		}
		return handler.refuse(refusal{status: http.StatusServiceUnavailable, reason: "turn-did-not-come", retryAfter: otherVMRetryAfter})
	}
	if ctx.Err() != nil {
		return handler.expire(ctx)
	}
	if !handler.dispatcher.askStop(handler.job, drainer.Policy.Fits) { // it may have waited for its turn
		return handler.refuse(refusalStopping)
	}
	if refusal := handler.dispatcher.refuseBlocked(handler.job); refusal != nil {
		return handler.refuse(*refusal)
	}
	if refusal := handler.charge(ctx); refusal != nil {
		return handler.refuse(*refusal)
	}
	if ctx.Err() != nil {
		return handler.expire(ctx)
	}
	if refusal := handler.prioritize(ctx); refusal != nil {
		return handler.refuse(*refusal)
	}
	if ctx.Err() != nil {
		return handler.expire(ctx)
	}
	if !handler.startAttempt(ctx) {
		return handler.giveUp()
	}
	return handler.awaitAttempts(ctx)
}

// charge takes a token of the organisation's rate and waits until it is available, if that
// is soon enough. The token is spent even if the caller disconnects during the wait.
func (handler *handler) charge(ctx context.Context) *refusal {
	organisation := handler.job.organisation
	if organisation == nil || handler.job.call.From != "" { // else charged by the VM that has passed it on
		return nil
	}
	dispatcher := handler.dispatcher
	startedAt := dispatcher.Clock()
	maxWait := throttler.MaxWait(handler.job.route.LatencyObjective, time.Until(handler.job.deadline))
	wait, refusal := dispatcher.state.charge(organisation.Name, min(maxWait, throttler.ShortWait), startedAt)
	tokens := 1.0
	if refusal != nil && refusal.reason == rateExceeded && handler.hearGroup(ctx, maxWait) {
		wait, refusal = dispatcher.state.charge(organisation.Name, min(maxWait, throttler.ShortWait), dispatcher.Clock())
	}
	if refusal != nil && refusal.reason == rateExceeded {
		if own, ok := handler.borrow(ctx, maxWait); ok {
			tokens, refusal = own, nil
		} else {
			now := dispatcher.Clock()
			wait, refusal = dispatcher.state.charge(organisation.Name, max(0, maxWait-(now-startedAt)), now)
		}
	}
	handler.rateWait = dispatcher.Clock() - startedAt + wait
	if refusal != nil {
		return refusal
	}
	if organisation.Rate > 0 && tokens > 0 {
		event := messenger.Event{Kind: messenger.Admitted, Name: organisation.Name}
		if tokens != 1 {
			event.Tokens = tokens
		}
		dispatcher.Messenger.SendToGroup(event)
	}
	if wait > 0 {
		timer.Sleep(ctx, wait)
	}
	return nil
}

// hearTime is how long a request waits for the messages of VMs of the group that were asked for one.
const hearTime = 15 * time.Millisecond

// hearGroup asks the VMs of the group for a message, if tokens are withheld until they are heard, and waits
// for it. It reports whether it did.
func (handler *handler) hearGroup(ctx context.Context, maxWait time.Duration) bool {
	dispatcher := handler.dispatcher
	if maxWait < hearTime || !dispatcher.state.withholds(handler.job.organisation.Name, dispatcher.Clock()) || !dispatcher.Group.AskGroup() {
		return false
	}
	countGroupAsk()
	timer.Sleep(ctx, hearTime)
	return true
}

// startAttempt starts one attempt. It returns false if none is allowed or possible.
func (handler *handler) startAttempt(ctx context.Context) bool {
	if ctx.Err() != nil || handler.attempts >= handler.job.targets+maxExtraAttempts {
		return false
	}
	dispatcher := handler.dispatcher
	if dispatcher.refuseBlocked(handler.job) != nil { // it may have waited, or has just crashed a target
		return false
	}
	if handler.outOfReach() {
		return false
	}
	if delegated, started := handler.delegate(ctx); delegated {
		return started
	}
	handler.hearGroupForWarmup(ctx)
	info := handler.pickInfo()
	handler.degraded = handler.degraded || dispatcher.state.degraded(info.Service, info.Now)
	target, ok := dispatcher.state.pick(info, handler.reached > 0)
	if !ok {
		return false
	}
	event := messenger.Event{Kind: messenger.AttemptStarted}
	if handler.ticket != nil {
		event.Route = handler.job.route.Name
	}
	switch {
	case handler.reached > 0:
		event.Kind = messenger.RetryStarted
	case handler.counted:
		event.Again = handler.limited
	default:
		handler.counted, handler.limited = true, dispatcher.state.countRequest(info.Service, info.Now)
	}
	handler.launch(ctx, info, target, event)
	return true
}

// launch sends the request to a target that was picked by the info, and the event with it to the group.
func (handler *handler) launch(ctx context.Context, info placer.PickInfo, target placer.Target, event messenger.Event) *attempt {
	dispatcher := handler.dispatcher
	event.Name, event.Service = target.ID, info.Service
	dispatcher.Messenger.SendToGroup(event)
	handler.attempts++
	handler.reached++
	handler.inFlight++
	repeated := slices.Contains(handler.addresses, target.Address)
	if !repeated {
		handler.addresses = append(handler.addresses, target.Address)
	}
	attempt := &attempt{
		dispatcher: dispatcher, job: handler.job, scope: scope{service: info.Service, homes: info.Regions}, target: target, number: handler.attempts, repeated: repeated, follows: handler.crashes > 0,
		hedge: event.Hedge, charged: dispatcher.state.cold(target.ID, info.Now),
	}
	if !slices.Contains(handler.tried, target.ID) {
		attempt.first = true
		handler.tried = append(handler.tried, target.ID)
	}
	handler.run(attempt, func() { attempt.send(ctx) })
	return attempt
}

// run runs an attempt in the background.
func (handler *handler) run(attempt *attempt, send func()) {
	attempt.launched = time.Now()
	handler.flying = append(handler.flying, attempt)
	go func() {
		log := handler.dispatcher.Log.WithField("request", handler.job.metadata.ID)
		if recoverer.Do(log, send) {
			recoverer.Do(log, attempt.abandon)
		}
		handler.results <- attempt
	}()
}

// maxExtraAttempts limits the attempts beyond the number of targets that the route allows:
// those that reached no target and those on a target that was already tried.
const maxExtraAttempts = 2

// pickInfo describes the next attempt for the placer: it goes to a target not yet tried
// while the route allows more targets, and then to the best of those that have received and answered the request.
func (handler *handler) pickInfo() placer.PickInfo {
	scope := handler.scope()
	info := placer.PickInfo{Service: scope.service, Regions: scope.homes, Now: handler.dispatcher.Clock()}
	if left := handler.job.targets - len(handler.tried) - handler.forwarded; left > 0 {
		info.Tried = append(slices.Clone(handler.tried), handler.unreachable...)
		info.Retryable = handler.job.route.Idempotent && left > 1
	} else {
		info.Tried, info.RetryTried = handler.repeatable, true
	}
	return info
}

// awaitAttempts waits for results of attempts until one decides the request. It starts the
// hedged attempt when it is due.
func (handler *handler) awaitAttempts(ctx context.Context) receiver.Reply {
	handler.startHedging()
	defer handler.hedging.timer.Stop()
	for {
		select {
		case attempt := <-handler.results:
			handler.land(attempt)
			if reply := handler.handleResult(ctx, attempt); reply != nil {
				return *reply
			}
		case <-handler.hedging.timer.C:
			handler.hedge(ctx)
		case <-ctx.Done():
			return handler.lastAnswer(ctx)
		}
	}
}

// land removes an attempt that has ended from those in flight.
func (handler *handler) land(ended *attempt) {
	handler.inFlight--
	handler.flying = slices.DeleteFunc(handler.flying, func(attempt *attempt) bool { return attempt == ended })
}

// lastAnswer returns the answer when the context has ended: that of an attempt if it is ready.
func (handler *handler) lastAnswer(ctx context.Context) receiver.Reply {
	if context.Cause(ctx) == context.Canceled {
		return handler.expire(ctx) // the caller has disconnected
	}
	for {
		select {
		case attempt := <-handler.results:
			handler.land(attempt)
			handler.mayHaveRun = handler.mayHaveRun || attempt.verdict.MayHaveRun
			switch attempt.verdict.Deliver {
			case assessor.Always:
				return handler.deliver(attempt)
			case assessor.IfLast:
				handler.failure = attempt
			}
		default:
			return handler.expire(ctx)
		}
	}
}

// deliver returns the answer of the attempt.
func (handler *handler) deliver(attempt *attempt) receiver.Reply {
	handler.reason, handler.delivered, handler.via = attempt.verdict.Reason, attempt, attempt.peer
	return attempt.reply()
}

// hedgeTimer returns a timer that fires when the request should be hedged. It never fires
// if the request isn't idempotent or its route has no latency objective.
func (handler *handler) hedgeTimer() *time.Timer {
	objective := handler.job.route.LatencyObjective
	if !handler.job.route.Idempotent || objective <= 0 {
		timer := time.NewTimer(time.Hour)
		timer.Stop()
		return timer
	}
	maxDelay := time.Duration(hedgeFraction * float64(objective))
	return time.NewTimer(handler.dispatcher.latency.hedgeDelay(handler.job.service, maxDelay))
}

// handleResult processes the end of an attempt. It returns the reply if the request is
// decided, and nil if other attempts are in flight or a retry was started.
func (handler *handler) handleResult(ctx context.Context, attempt *attempt) *receiver.Reply {
	verdict := attempt.verdict
	handler.lastVerdict, handler.last = verdict, attempt
	switch {
	case attempt.peer != "" && !verdict.MayHaveRun:
		handler.reached--
		if attempt.helpless() {
			handler.helpless++
		}
		handler.forwarded -= max(0, attempt.targets-attempt.forwarded.Targets)
	case verdict.Outcome == placer.Unreachable && !verdict.MayHaveRun:
		handler.markUnsent(attempt)
		handler.unreachable = append(handler.unreachable, attempt.target.ID)
	case verdict.Reason == assessor.Withheld:
		handler.markUnsent(attempt)
		handler.hedging.withheld = handler.hedging.withheld || attempt == handler.hedging.sent
	}
	if attempt.peer == "" {
		handler.markRepeatable(attempt)
	}
	handler.mayHaveRun = handler.mayHaveRun || verdict.MayHaveRun
	if attempt.crashed {
		handler.crashes++
	}
	if verdict.Deliver == assessor.Always {
		reply := handler.deliver(attempt)
		return &reply
	}
	if verdict.Deliver == assessor.IfLast {
		handler.failure = attempt
	}
	if givenUp(ctx) || context.Cause(ctx) == context.Canceled {
		reply := handler.expire(ctx)
		return &reply
	}
	if handler.worthRetrying(verdict) && handler.startAttempt(ctx) {
		return nil
	}
	if handler.inFlight > 0 {
		return nil
	}
	reply := handler.giveUp()
	return &reply
}

// worthRetrying counts a late failure, and reports whether another attempt is allowed
// after the verdict and may succeed.
func (handler *handler) worthRetrying(verdict assessor.Verdict) bool {
	if !handler.job.route.Idempotent && handler.mayHaveRun {
		return false
	}
	if verdict.Outcome == placer.FailedLate {
		handler.failedLate++
	}
	return handler.failedLate < maxFailedLate && handler.crashes < maxCrashes
}

// maxCrashes is the number of targets that may crash under a request before it is given up: it is
// likely to be the cause.
const maxCrashes = 2

// maxFailedLate is the number of late failures after which a request isn't retried: one
// that failed twice after the targets did the work is likely to fail on every target.
const maxFailedLate = 2

// markUnsent undoes the counting of an attempt that was not sent to its target.
func (handler *handler) markUnsent(attempt *attempt) {
	handler.reached--
	if attempt.first {
		handler.tried = slices.DeleteFunc(handler.tried, func(id string) bool { return id == attempt.target.ID })
	}
}

// markRepeatable records whether the target of an attempt has answered it itself.
func (handler *handler) markRepeatable(attempt *attempt) {
	id := attempt.target.ID
	handler.repeatable = slices.DeleteFunc(handler.repeatable, func(other string) bool { return other == id })
	if attempt.response != nil && attempt.verdict.Outcome != placer.Replaced {
		handler.repeatable = append(handler.repeatable, id)
	}
}

// expire returns the answer when the deadline has passed, the VM stops or the caller has
// disconnected. Attempts still in flight are cancelled and may have run.
func (handler *handler) expire(ctx context.Context) receiver.Reply {
	handler.mayHaveRun = handler.mayHaveRun || handler.inFlight > 0
	if context.Cause(ctx) == context.Canceled {
		handler.reason = "caller-gone"
		return receiver.Reply{Abort: true}
	}
	if handler.failure != nil {
		return handler.deliver(handler.failure)
	}
	givenUp := givenUp(ctx)
	switch {
	case handler.mayHaveRun && givenUp:
		return handler.refuse(refusalGivenUp)
	case handler.mayHaveRun:
		return handler.refuse(refusal{status: http.StatusGatewayTimeout, reason: "timed-out"})
	case givenUp:
		return handler.refuse(refusalStopping)
	}
	return handler.refuse(refusal{status: http.StatusServiceUnavailable, reason: "timed-out-unsent", retryAfter: targetsRetryAfter})
}

// refusalGivenUp is the answer to requests that may have run when the VM stops.
var refusalGivenUp = refusal{status: http.StatusBadGateway, reason: "given-up"}

// givenUp reports whether the context has ended because the VM stops.
func givenUp(ctx context.Context) bool { return errors.Is(context.Cause(ctx), receiver.ErrGivenUp) }

// targetsRetryAfter is the Retry-After of refusals because no target could serve the
// request: within this time one that is full or unavailable may have room again.
const targetsRetryAfter = 300 * time.Millisecond

// giveUp returns the answer when no further attempt is possible.
func (handler *handler) giveUp() receiver.Reply {
	switch {
	case handler.failure != nil:
		return handler.deliver(handler.failure)
	case handler.mayHaveRun:
		return handler.refuse(refusal{status: http.StatusBadGateway, reason: handler.lastVerdict.Reason})
	}
	scope := handler.scope()
	if handler.helpless > 0 && handler.helpless == len(handler.peers) {
		handler.dispatcher.state.recordUnserved(scope, handler.dispatcher.Clock())
	}
	if scope.isEmpty() { // a new configuration is in force since it was admitted
		return handler.refuse(refusalNoHome)
	}
	if refusal := handler.dispatcher.refuseBlocked(handler.job); refusal != nil {
		return handler.refuse(*refusal)
	}
	if refusal := handler.dispatcher.state.wait(scope, handler.dispatcher.Clock()); refusal != nil {
		return handler.refuse(*refusal)
	}
	switch {
	case handler.job.call.From != "" && handler.outOfReach():
		return handler.refuse(refusalIsolated)
	case handler.attempts == 0:
		return handler.refuse(refusalNoTarget)
	case handler.lastVerdict.Reason == assessor.Withheld && !(handler.dispatcher.maySend(handler.job) && handler.dispatcher.knowsEvacuations()):
		return handler.refuse(refusalStale)
	case handler.lastVerdict.Reason == assessor.Withheld && handler.last.peer == "" && handler.dispatcher.evacuated(handler.last.target.DataCentre):
		return handler.refuse(refusalNoTarget) // the target's data centre was evacuated meanwhile, and no other target is left
	default:
		return handler.refuse(refusal{status: http.StatusServiceUnavailable, reason: handler.lastVerdict.Reason, retryAfter: targetsRetryAfter})
	}
}

func (handler *handler) refuse(refusal refusal) receiver.Reply {
	handler.reason = refusal.reason
	return refusal.reply()
}

// log logs the end of the request.
func (handler *handler) log(ctx context.Context, reply receiver.Reply) {
	dispatcher, job := handler.dispatcher, handler.job
	fields := logrus.Fields{
		"request": job.metadata.ID, "route": job.route.Name, "service": job.service, "status": reply.Status, "reason": handler.reason,
		"attempts": handler.attempts, "targets": handler.tried, "may-have-run": handler.mayHaveRun, "caller-gone": context.Cause(ctx) == context.Canceled,
		"duration": time.Since(job.call.Received).Round(time.Millisecond), "limit": job.limit,
		"configuration": job.index.Version, "age": (dispatcher.Clock() - dispatcher.Tracker.AsOf()).Round(time.Millisecond),
		"connection": job.call.Connection, "connection-age": job.call.Received.Sub(job.call.Accepted).Round(time.Millisecond),
	}
	if homes, _ := dispatcher.homes(job); homes != nil {
		fields["home-regions"] = homes
	}
	if job.call.Ahead > 0 {
		fields["ahead"] = job.call.Ahead
	}
	if handler.delivered != nil && handler.via == "" {
		fields["suspicion-before"], fields["suspicion-after"] = handler.delivered.suspicionBefore, handler.delivered.suspicionAfter
	}
	if wait := handler.rateWait.Round(time.Millisecond); wait > 0 {
		fields["waited-for-rate"] = wait
	}
	if handler.ticket != nil {
		fields["priority"] = handler.priorityField()
	}
	if handler.degraded {
		fields["service-degraded"] = true
	}
	if outcome := handler.hedging.outcome(handler.delivered); outcome != "" {
		fields["hedge"] = outcome
		if outcome == "won" {
			countHedgeWon()
		}
	}
	if handler.reason == blockedReason {
		if fingerprint, ok := dispatcher.fingerprint(job); ok {
			fields["fingerprint"] = fingerprint
		}
	}
	if handler.last != nil {
		if limit, ok := dispatcher.state.limitOf(handler.last.target.ID); ok {
			fields["target-limit"] = limit
		}
		if dispatcher.state.cold(handler.last.target.ID, dispatcher.Clock()) {
			fields["target-cold"] = true
		}
	}
	if len(handler.lenders) > 0 {
		fields["lenders"] = handler.lenders
	}
	if len(handler.peers) > 0 {
		fields["peers"], fields["via"] = handler.peers, handler.via
	}
	if job.call.From != "" {
		fields["from"] = job.call.From
	}
	if job.organisation != nil {
		fields["organisation"] = job.organisation.Name
	}
	dispatcher.Log.WithFields(fields).Info("request-answered")
}

func (dispatcher *Dispatcher) logRefusal(call *receiver.Call, refusal *refusal) {
	path, _, _ := strings.Cut(call.Target, "?") // the query may contain secrets
	fields := logrus.Fields{"status": refusal.status, "reason": refusal.reason, "host": call.Request.Host, "path": path}
	if call.From != "" {
		fields["from"], fields["required"] = call.From, call.Configuration
	}
	if index := dispatcher.Tracker.Index(); index != nil {
		fields["configuration"] = index.Version
		freshness := dispatcher.freshness()
		fields["age"] = freshness.Age.Round(time.Millisecond)
		fields["behind"], fields["store-unreachable"] = freshness.Behind, freshness.StoreUnreachable
		if freshness.Unconfirmed {
			fields["unconfirmed"] = true
		}
	}
	dispatcher.Log.WithFields(fields).WithField("request", requestID(call)).Info("request-refused")
}
