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

// Serve answers one request.
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

// run is the work on one admitted request.
type run struct {
	dispatcher *Dispatcher
	job        *job
	results    chan *attempt

	// rateWait is how long the request has rateWait for its organisation's rate.
	rateWait time.Duration
	// tried are the targets that an attempt was sent to, without those that
	// could not be reached.
	tried       []string
	unreachable []string
	attempts    int
	// reached counts the attempts that may have reached a target.
	reached  int
	inFlight int
	// failedLate counts the attempts that failed after their work.
	failedLate int
	// mayHaveRun is true once an attempt may have run the request.
	mayHaveRun bool
	// delivered is the attempt whose answer went to the caller.
	delivered *attempt
	// failure is a target's own failure, passed on if nothing better comes.
	failure     *attempt
	lastVerdict assessor.Verdict
	reason      string
}

// reportFailure tells this VM and its group of a request that was refused or failed.
func (run *run) reportFailure(reply receiver.Reply) {
	if reply.Abort || reply.Status < http.StatusInternalServerError && reply.Status != http.StatusTooManyRequests {
		return
	}
	run.dispatcher.state.recordFailure(run.job.service, run.dispatcher.Clock())
	run.dispatcher.Messenger.Tell(messenger.Note{Kind: messenger.Unserved, Service: run.job.service})
}

// hedgeFraction is the part of the latency objective after which an idempotent
// request is sent to a second target at the latest.
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

// charge takes the request off its organisation's rate, and waits for a token
// that comes soon. A caller that leaves meanwhile loses the token.
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
		dispatcher.Messenger.Tell(messenger.Note{Kind: messenger.Admitted, Name: organisation.Name})
	}
	run.rateWait = wait
	if wait > 0 {
		timer.Sleep(ctx, wait)
	}
	return nil
}

// startAttempt begins one attempt. It reports false if none is allowed or possible.
func (run *run) startAttempt(ctx context.Context) bool {
	if ctx.Err() != nil || run.attempts >= run.job.route.Attempts+maxExtraAttempts {
		return false
	}
	dispatcher := run.dispatcher
	target, ok := dispatcher.state.pick(run.pickInfo(), run.reached > 0)
	if !ok {
		return false
	}
	kind := messenger.Begun
	if run.reached > 0 {
		kind = messenger.BegunAgain
	}
	dispatcher.Messenger.Tell(messenger.Note{Kind: kind, Name: target.ID, Service: run.job.service})
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

// maxExtraAttempts bounds the attempts beyond the targets that a route allows: those
// that reached no target, and those at a target that was tried before.
const maxExtraAttempts = 2

// pickInfo says which target the next attempt wants: another one while the route
// allows more targets, and then the best of those that were tried.
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

// awaitAttempts waits for the attempts until one settles the request.
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

// hedgeTimer fires when an idempotent request should be sent to a second
// target too.
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

// handleResult returns the reply if the attempt settles the request.
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

// worthRetrying reports whether another attempt is allowed after the verdict
// and may end better. A request that failed twice after its work fails
// everywhere.
func (run *run) worthRetrying(verdict assessor.Verdict) bool {
	if !run.job.route.Idempotent && run.mayHaveRun {
		return false
	}
	if verdict.Outcome == placer.FailedLate {
		run.failedLate++
	}
	return run.failedLate < maxFailedLate
}

// maxFailedLate bounds the failures after work of one request.
const maxFailedLate = 2

// markUnreachable takes back an attempt that could not reach its target.
func (run *run) markUnreachable(target string) {
	run.reached--
	run.tried = slices.DeleteFunc(run.tried, func(id string) bool { return id == target })
	run.unreachable = append(run.unreachable, target)
}

// expire answers when the time has run out. Attempts still in progress are
// cancelled and may have run.
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

// targetsRetryAfter is how soon targets that are full or out may have room again.
const targetsRetryAfter = 300 * time.Millisecond

// giveUp answers when nothing more can be tried.
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

// log writes the line of the request's end.
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
	path, _, _ := strings.Cut(call.Target, "?") // a query may hold what no log should
	fields := logrus.Fields{"status": refusal.status, "reason": refusal.reason, "host": call.Request.Host, "path": path}
	if index := dispatcher.Tracker.Index(); index != nil {
		fields["configuration"] = index.Version
		freshness := dispatcher.freshness()
		fields["age"] = freshness.Age.Round(time.Millisecond)
		fields["behind"], fields["store-lost"] = freshness.Behind, freshness.StoreUnreachable
	}
	dispatcher.Log.WithFields(fields).WithField("request", requestID(call)).Info("request-refused")
}
