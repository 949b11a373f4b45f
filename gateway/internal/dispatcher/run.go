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
		meter(refused.reason, refused.status, time.Since(call.Received))
		dispatcher.logRefusal(call, refused)
		return refused.reply()
	}
	run := &run{dispatcher: dispatcher, job: job, results: make(chan *attempt, job.route.Attempts+maxRepeats)}
	reply := run.serve(ctx)
	run.count(reply)
	meter(run.reason, reply.Status, time.Since(call.Received))
	run.log(ctx, reply)
	return reply
}

// run is the work on one admitted request.
type run struct {
	dispatcher *Dispatcher
	job        *job
	results    chan *attempt

	// waited is how long the request has waited for its organisation's rate.
	waited time.Duration
	// tried are the targets that an attempt was sent to, without those that
	// could not be reached.
	tried       []string
	unreachable []string
	attempts    int
	// arrivals counts the attempts that may have reached a target.
	arrivals int
	running  int
	// erred counts the attempts that failed after their work.
	erred int
	// mayHaveRun is true once an attempt may have run the request.
	mayHaveRun bool
	// delivered is the attempt whose answer went to the caller.
	delivered *attempt
	// failure is a target's own failure, passed on if nothing better comes.
	failure *attempt
	last    assessor.Verdict
	reason  string
}

// count tells this VM and its group of a request that was refused or failed.
func (run *run) count(reply receiver.Reply) {
	if reply.Abort || reply.Status < http.StatusInternalServerError && reply.Status != http.StatusTooManyRequests {
		return
	}
	run.dispatcher.state.unserved(run.job.service, run.dispatcher.Clock())
	run.dispatcher.Messenger.Tell(messenger.Note{Kind: messenger.Unserved, Service: run.job.service})
}

// hedgePart is the part of the latency objective after which an idempotent
// request is sent to a second target at the latest.
const hedgePart = 0.7

func (run *run) serve(parent context.Context) receiver.Reply {
	ctx, cancel := context.WithDeadline(parent, run.job.deadline)
	defer cancel()
	if !run.job.route.Idempotent && !await(ctx, run.job.call.Turn) {
		return run.refuse(refusal{status: http.StatusServiceUnavailable, reason: "turn-did-not-come", retryAfter: elsewhere})
	}
	if refusal := run.charge(ctx); refusal != nil {
		return run.refuse(*refusal)
	}
	if ctx.Err() != nil {
		return run.expire(ctx)
	}
	if !run.start(ctx) {
		return run.giveUp()
	}
	return run.await(ctx)
}

// charge takes the request off its organisation's rate, and waits for a token
// that comes soon. A caller that leaves meanwhile loses the token.
func (run *run) charge(ctx context.Context) *refusal {
	organisation := run.job.organisation
	if organisation == nil {
		return nil
	}
	dispatcher := run.dispatcher
	patience := throttler.MaxWait(run.job.route.LatencyObjective, time.Until(run.job.deadline))
	wait, refusal := dispatcher.state.charge(organisation.Name, patience, dispatcher.Clock())
	if refusal != nil {
		return refusal
	}
	if organisation.Rate > 0 {
		dispatcher.Messenger.Tell(messenger.Note{Kind: messenger.Admitted, Name: organisation.Name})
	}
	run.waited = wait
	if wait > 0 {
		timer.Sleep(ctx, wait)
	}
	return nil
}

// start begins one attempt. It reports false if none is allowed or possible.
func (run *run) start(ctx context.Context) bool {
	if ctx.Err() != nil || run.attempts >= run.job.route.Attempts+maxRepeats {
		return false
	}
	dispatcher := run.dispatcher
	target, ok := dispatcher.state.pick(run.ask(), run.arrivals > 0)
	if !ok {
		return false
	}
	kind := messenger.Begun
	if run.arrivals > 0 {
		kind = messenger.BegunAgain
	}
	dispatcher.Messenger.Tell(messenger.Note{Kind: kind, Name: target.ID, Service: run.job.service})
	run.attempts++
	run.arrivals++
	run.running++
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

// maxRepeats bounds the attempts beyond the targets that a route allows: those
// that reached no target, and those at a target that was tried before.
const maxRepeats = 2

// ask says which target the next attempt wants: another one while the route
// allows more targets, and then the best of those that were tried.
func (run *run) ask() placer.PickInfo {
	ask := placer.PickInfo{Service: run.job.service, Now: run.dispatcher.Clock()}
	if len(run.tried) < run.job.route.Attempts {
		ask.Tried = append(slices.Clone(run.tried), run.unreachable...)
		ask.Retryable = run.job.route.Idempotent && len(run.tried)+1 < run.job.route.Attempts
	} else {
		ask.Tried, ask.RetryTried = run.tried, true
	}
	return ask
}

// await waits for the attempts until one settles the request.
func (run *run) await(ctx context.Context) receiver.Reply {
	hedge := run.hedgeTimer()
	defer hedge.Stop()
	for {
		select {
		case attempt := <-run.results:
			run.running--
			if reply := run.take(ctx, attempt); reply != nil {
				return *reply
			}
		case <-hedge.C:
			run.start(ctx)
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
	longest := time.Duration(hedgePart * float64(objective))
	return time.NewTimer(run.dispatcher.latency.delay(run.job.service, longest))
}

// take returns the reply if the attempt settles the request.
func (run *run) take(ctx context.Context, attempt *attempt) *receiver.Reply {
	verdict := attempt.verdict
	run.last = verdict
	if verdict.Outcome == placer.Unreachable {
		run.missed(attempt.target.ID)
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
	if run.worthRepeating(verdict) && run.start(ctx) {
		return nil
	}
	if run.running > 0 {
		return nil
	}
	reply := run.giveUp()
	return &reply
}

// worthRepeating reports whether another attempt is allowed after the verdict
// and may end better. A request that failed twice after its work fails
// everywhere.
func (run *run) worthRepeating(verdict assessor.Verdict) bool {
	if !run.job.route.Idempotent && run.mayHaveRun {
		return false
	}
	if verdict.Outcome == placer.FailedLate {
		run.erred++
	}
	return run.erred < maxErred
}

// maxErred bounds the failures after work of one request.
const maxErred = 2

// missed takes back an attempt that could not reach its target.
func (run *run) missed(target string) {
	run.arrivals--
	run.tried = slices.DeleteFunc(run.tried, func(id string) bool { return id == target })
	run.unreachable = append(run.unreachable, target)
}

// expire answers when the time has run out. Attempts still in progress are
// cancelled and may have run.
func (run *run) expire(ctx context.Context) receiver.Reply {
	run.mayHaveRun = run.mayHaveRun || run.running > 0
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
	return run.refuse(refusal{status: http.StatusServiceUnavailable, reason: "timed-out-unsent", retryAfter: comeBack})
}

// comeBack is how soon targets that are full or out may have room again.
const comeBack = 300 * time.Millisecond

// giveUp answers when nothing more can be tried.
func (run *run) giveUp() receiver.Reply {
	switch {
	case run.failure != nil:
		run.reason = run.failure.verdict.Reason
		return run.failure.reply()
	case run.mayHaveRun:
		return run.refuse(refusal{status: http.StatusBadGateway, reason: run.last.Reason})
	}
	if wait, ok := run.dispatcher.state.returnAfter(run.job.service, run.dispatcher.Clock()); ok {
		return run.refuse(refusal{status: http.StatusServiceUnavailable, reason: "targets-quiet", retryAfter: wait})
	}
	switch {
	case run.attempts == 0:
		return run.refuse(refusal{status: http.StatusServiceUnavailable, reason: "no-target", retryAfter: comeBack})
	case run.last.Reason == assessor.Withheld:
		return run.refuse(refusalStale)
	default:
		return run.refuse(refusal{status: http.StatusServiceUnavailable, reason: run.last.Reason, retryAfter: comeBack})
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
		"request": job.ask.ID, "route": job.route.Name, "service": job.service, "status": reply.Status, "reason": run.reason,
		"attempts": run.attempts, "targets": run.tried, "may-have-run": run.mayHaveRun, "caller-gone": ctx.Err() != nil,
		"duration": time.Since(job.call.Received).Round(time.Millisecond), "limit": job.limit,
		"configuration": job.index.Version, "age": (dispatcher.Clock() - dispatcher.Tracker.AsOf()).Round(time.Millisecond),
	}
	if run.delivered != nil {
		fields["suspicion-before"], fields["suspicion-after"] = run.delivered.before, run.delivered.after
	}
	if run.waited > 0 {
		fields["waited-for-rate"] = run.waited.Round(time.Millisecond)
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
		knowledge := dispatcher.knowledge()
		fields["age"] = knowledge.Age.Round(time.Millisecond)
		fields["behind"], fields["store-lost"] = knowledge.Behind, knowledge.StoreUnreachable
	}
	dispatcher.Log.WithFields(fields).WithField("request", requestID(call)).Info("request-refused")
}
