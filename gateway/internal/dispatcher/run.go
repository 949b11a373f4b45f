package dispatcher

import (
	"context"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/sirupsen/logrus"

	"godwitramp.example/core/assessor"
	"godwitramp.example/core/placer"
	"godwitramp.example/core/throttler"
	"godwitramp.example/gateway/internal/messenger"
	"godwitramp.example/gateway/internal/receiver"
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
	run := &run{dispatcher: dispatcher, job: job, results: make(chan *attempt, job.route.Attempts+maxExtraAttempts)}
	reply := run.serve(ctx)
	run.reportFailure(reply)
	countAnswer(run.reason, reply.Status, time.Since(call.Received))
	run.log(ctx, reply)
	return reply
}

// run is the state of one admitted request.
type run struct {
	dispatcher *Dispatcher
	job        *job
	results    chan *attempt

	// rateWait is how long the request waited for a token of its organisation's rate.
	rateWait time.Duration
	// tried are the IDs of the targets that an attempt was sent to, without those that
	// could not be reached.
	tried       []string
	unreachable []string
	attempts    int
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
	reason      string
}

// reportFailure records a request that was refused or failed, in this VM and its group.
func (run *run) reportFailure(reply receiver.Reply) {
	if reply.Abort || reply.Status < http.StatusInternalServerError && reply.Status != http.StatusTooManyRequests {
		return
	}
	run.dispatcher.state.recordFailure(run.job.service, run.dispatcher.Clock())
	run.dispatcher.Messenger.SendToGroup(messenger.Event{Kind: messenger.RequestFailed, Service: run.job.service})
}

// hedgeFraction is the fraction of the latency objective after which an idempotent request
// is hedged at the latest.
const hedgeFraction = 0.7

func (run *run) serve(parent context.Context) receiver.Reply {
	ctx, cancel := context.WithDeadline(parent, run.job.deadline)
	defer cancel()
	if !run.job.route.Idempotent && !await(ctx, run.job.call.Turn) {
		return run.refuse(refusal{status: http.StatusServiceUnavailable, reason: "turn-did-not-come", retryAfter: otherVMRetryAfter})
	}
	if refusal := run.charge(ctx); refusal != nil {
		return run.refuse(*refusal)
	}
	if ctx.Err() != nil {
		return run.expire(ctx)
	}
	if !run.startAttempt(ctx) {
		return run.giveUp()
	}
	return run.awaitAttempts(ctx)
}

// charge takes a token of the organisation's rate and waits until it is available, if that
// is soon enough. The token is spent even if the caller disconnects meanwhile.
func (run *run) charge(ctx context.Context) *refusal {
	organisation := run.job.organisation
	if organisation == nil {
		return nil
	}
	dispatcher := run.dispatcher
	maxWait := throttler.MaxWait(run.job.route.LatencyObjective, time.Until(run.job.deadline))
	wait, refusal := dispatcher.state.charge(organisation.Name, maxWait, dispatcher.Clock())
	if refusal != nil {
		return refusal
	}
	if organisation.Rate > 0 {
		dispatcher.Messenger.SendToGroup(messenger.Event{Kind: messenger.Admitted, Name: organisation.Name})
	}
	run.rateWait = wait
	if wait > 0 {
		timer.Sleep(ctx, wait)
	}
	return nil
}

// startAttempt starts one attempt. It returns false if none is allowed or possible.
func (run *run) startAttempt(ctx context.Context) bool {
	if ctx.Err() != nil || run.attempts >= run.job.route.Attempts+maxExtraAttempts {
		return false
	}
	dispatcher := run.dispatcher
	target, ok := dispatcher.state.pick(run.pickInfo(), run.reached > 0)
	if !ok {
		return false
	}
	kind := messenger.AttemptStarted
	if run.reached > 0 {
		kind = messenger.RetryStarted
	}
	dispatcher.Messenger.SendToGroup(messenger.Event{Kind: kind, Name: target.ID, Service: run.job.service})
	run.attempts++
	run.reached++
	run.inFlight++
	if !slices.Contains(run.tried, target.ID) {
		run.tried = append(run.tried, target.ID)
	}
	attempt := &attempt{dispatcher: dispatcher, job: run.job, target: target, number: run.attempts}
	go func() {
		attempt.send(ctx)
		run.results <- attempt
	}()
	return true
}

// maxExtraAttempts limits the attempts beyond the number of targets that the route allows:
// those that reached no target and those on a target that was already tried.
const maxExtraAttempts = 2

// pickInfo describes the next attempt for the placer: it goes to a target not yet tried
// while the route allows more targets, and then to the best of those already tried.
func (run *run) pickInfo() placer.PickInfo {
	info := placer.PickInfo{Service: run.job.service, Now: run.dispatcher.Clock()}
	if len(run.tried) < run.job.route.Attempts {
		info.Tried = append(slices.Clone(run.tried), run.unreachable...)
		info.Retryable = run.job.route.Idempotent && len(run.tried)+1 < run.job.route.Attempts
	} else {
		info.Tried, info.RetryTried = run.tried, true
	}
	return info
}

// awaitAttempts waits for results of attempts until one decides the request. It starts the
// hedged attempt when it is due.
func (run *run) awaitAttempts(ctx context.Context) receiver.Reply {
	hedge := run.hedgeTimer()
	defer hedge.Stop()
	for {
		select {
		case attempt := <-run.results:
			run.inFlight--
			if reply := run.handleResult(ctx, attempt); reply != nil {
				return *reply
			}
		case <-hedge.C:
			run.startAttempt(ctx)
		case <-ctx.Done():
			return run.expire(ctx)
		}
	}
}

// hedgeTimer returns a timer that fires when the request should be hedged. It never fires
// if the request isn't idempotent or its route has no latency objective.
func (run *run) hedgeTimer() *time.Timer {
	objective := run.job.route.LatencyObjective
	if !run.job.route.Idempotent || objective <= 0 {
		timer := time.NewTimer(time.Hour)
		timer.Stop()
		return timer
	}
	maxDelay := time.Duration(hedgeFraction * float64(objective))
	return time.NewTimer(run.dispatcher.latency.hedgeDelay(run.job.service, maxDelay))
}

// handleResult processes the end of an attempt. It returns the reply if the request is
// decided, and nil if other attempts are in flight or a retry was started.
func (run *run) handleResult(ctx context.Context, attempt *attempt) *receiver.Reply {
	verdict := attempt.verdict
	run.lastVerdict = verdict
	if verdict.Outcome == placer.Unreachable {
		run.markUnreachable(attempt.target.ID)
	}
	run.mayHaveRun = run.mayHaveRun || verdict.MayHaveRun
	if verdict.Deliver == assessor.Always {
		run.reason, run.delivered = verdict.Reason, attempt
		reply := attempt.reply()
		return &reply
	}
	if verdict.Deliver == assessor.IfLast {
		run.failure = attempt
	}
	if run.worthRetrying(verdict) && run.startAttempt(ctx) {
		return nil
	}
	if run.inFlight > 0 {
		return nil
	}
	reply := run.giveUp()
	return &reply
}

// worthRetrying reports whether another attempt is allowed after the verdict and may
// succeed.
func (run *run) worthRetrying(verdict assessor.Verdict) bool {
	if !run.job.route.Idempotent && run.mayHaveRun {
		return false
	}
	if verdict.Outcome == placer.FailedLate {
		run.failedLate++
	}
	return run.failedLate < maxFailedLate
}

// maxFailedLate is the number of late failures after which a request isn't retried: one
// that failed twice after the targets did the work is likely to fail on every target.
const maxFailedLate = 2

// markUnreachable undoes the counting of an attempt that could not reach its target, and
// excludes the target from further attempts.
func (run *run) markUnreachable(target string) {
	run.reached--
	run.tried = slices.DeleteFunc(run.tried, func(id string) bool { return id == target })
	run.unreachable = append(run.unreachable, target)
}

// expire returns the answer when the deadline has passed or the caller has disconnected.
// Attempts still in flight are cancelled and may have run.
func (run *run) expire(ctx context.Context) receiver.Reply {
	run.mayHaveRun = run.mayHaveRun || run.inFlight > 0
	if context.Cause(ctx) == context.Canceled {
		run.reason = "caller-gone"
		return receiver.Reply{Abort: true}
	}
	if run.failure != nil {
		run.reason = run.failure.verdict.Reason
		return run.failure.reply()
	}
	if run.mayHaveRun {
		return run.refuse(refusal{status: http.StatusGatewayTimeout, reason: "timed-out"})
	}
	return run.refuse(refusal{status: http.StatusServiceUnavailable, reason: "timed-out-unsent", retryAfter: targetsRetryAfter})
}

// targetsRetryAfter is the Retry-After of refusals because no target could serve the
// request: within this time one that is full or unavailable may have room again.
const targetsRetryAfter = 300 * time.Millisecond

// giveUp returns the answer when no further attempt is possible.
func (run *run) giveUp() receiver.Reply {
	switch {
	case run.failure != nil:
		run.reason = run.failure.verdict.Reason
		return run.failure.reply()
	case run.mayHaveRun:
		return run.refuse(refusal{status: http.StatusBadGateway, reason: run.lastVerdict.Reason})
	}
	if wait, ok := run.dispatcher.state.coolDownRetryAfter(run.job.service, run.dispatcher.Clock()); ok {
		return run.refuse(refusal{status: http.StatusServiceUnavailable, reason: "targets-quiet", retryAfter: wait})
	}
	switch {
	case run.attempts == 0:
		return run.refuse(refusal{status: http.StatusServiceUnavailable, reason: "no-target", retryAfter: targetsRetryAfter})
	case run.lastVerdict.Reason == assessor.Withheld:
		return run.refuse(refusalStale)
	default:
		return run.refuse(refusal{status: http.StatusServiceUnavailable, reason: run.lastVerdict.Reason, retryAfter: targetsRetryAfter})
	}
}

func (run *run) refuse(refusal refusal) receiver.Reply {
	run.reason = refusal.reason
	return refusal.reply()
}

// log logs the end of the request.
func (run *run) log(ctx context.Context, reply receiver.Reply) {
	dispatcher, job := run.dispatcher, run.job
	fields := logrus.Fields{
		"request": job.metadata.ID, "route": job.route.Name, "service": job.service, "status": reply.Status, "reason": run.reason,
		"attempts": run.attempts, "targets": run.tried, "may-have-run": run.mayHaveRun, "caller-gone": ctx.Err() != nil,
		"duration": time.Since(job.call.Received).Round(time.Millisecond), "limit": job.limit,
		"configuration": job.index.Version, "age": (dispatcher.Clock() - dispatcher.Tracker.AsOf()).Round(time.Millisecond),
	}
	if run.delivered != nil {
		fields["suspicion-before"], fields["suspicion-after"] = run.delivered.suspicionBefore, run.delivered.suspicionAfter
	}
	if run.rateWait > 0 {
		fields["waited-for-rate"] = run.rateWait.Round(time.Millisecond)
	}
	if job.organisation != nil {
		fields["organisation"] = job.organisation.Name
	}
	dispatcher.Log.WithFields(fields).Info("request-answered")
}

func (dispatcher *Dispatcher) logRefusal(call *receiver.Call, refusal *refusal) {
	path, _, _ := strings.Cut(call.Target, "?") // the query may contain secrets
	fields := logrus.Fields{"status": refusal.status, "reason": refusal.reason, "host": call.Request.Host, "path": path}
	if index := dispatcher.Tracker.Index(); index != nil {
		fields["configuration"] = index.Version
		freshness := dispatcher.freshness()
		fields["age"] = freshness.Age.Round(time.Millisecond)
		fields["behind"], fields["store-lost"] = freshness.Behind, freshness.StoreUnreachable
	}
	dispatcher.Log.WithFields(fields).WithField("request", requestID(call)).Info("request-refused")
}
