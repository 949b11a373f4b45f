package forwarder

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/queuer"
	"godwitramp.example/core/retrier"
	"godwitramp.example/core/router"
	"godwitramp.example/shell/exchanger"
)

// run is the work on one request.
type run struct {
	forwarder *Forwarder
	writer    http.ResponseWriter
	request   *http.Request
	job       Job
	ctx       context.Context
	started   time.Time

	service *service
	ticket  queuer.Ticket
	left    bool
	body    requestBody
	header  http.Header
	policy  retrier.Request

	// tried targets get the request no more.
	tried    []configurator.Path
	attempts int
	// round counts the attempts since the last pause.
	round int
	// freshOnly is set once a kept connection was lost.
	freshOnly bool
	// mayHaveRun is true once an attempt may have run the request.
	mayHaveRun bool
	record     Record
}

// serve makes attempts until one gives an answer or none is allowed.
func (run *run) serve() {
	run.header = outgoingHeader(run.request, run.job)
	run.policy = retrier.Request{Idempotent: idempotent(run.request.Method, run.job.Route), Replayable: !run.body.streamed()}
	delay := run.service.begin(run.job.Service.ObjectiveLatency)
	if !run.enter() {
		return
	}
	defer run.leave(queuer.Unknown)
	leg := run.start()
	for {
		if leg == nil {
			run.refuseNoTarget()
			return
		}
		leg = run.await(leg, delay)
		verdict := leg.judge(run.request.Context())
		if leg.err != nil && run.body.err != nil {
			verdict.kind = router.Cancelled // the caller's doing
		}
		var held *heldAnswer
		if leg.deliverable(verdict) {
			held = run.hold(leg, &verdict)
		}
		run.mayHaveRun = run.mayHaveRun || verdict.attempt.MayHaveRun()
		next := run.next(leg, verdict)
		if next == nil {
			var paused bool
			if next, paused = run.afterPause(leg, verdict, held); paused {
				leg = next
				continue
			}
			run.end(leg, verdict, held)
			return
		}
		held.release()
		run.settle(leg, verdict)
		leg = next
	}
}

// idempotent reports whether the request may run more than once.
func idempotent(method string, route *configurator.Route) bool {
	policy := configurator.RetryIdempotentMethods
	if route != nil {
		policy = route.Retry
	}
	switch policy {
	case configurator.RetryNever:
		return false
	case configurator.RetryAlways:
		return true
	}
	switch method {
	case http.MethodGet, http.MethodHead, http.MethodOptions, http.MethodPut, http.MethodDelete:
		return true
	default:
		return false
	}
}

func (run *run) pick(tried []configurator.Path) (configurator.Target, bool) {
	return run.pickAt(tried, Now())
}

func (run *run) pickAt(tried []configurator.Path, now time.Duration) (configurator.Target, bool) {
	random := randoms.Get().(*rand.Rand)
	defer randoms.Put(random)
	ask := router.Ask{Service: run.job.Service, Tried: tried, Now: now}
	return run.forwarder.Picker.Pick(ask, random)
}

func (run *run) newLeg(target configurator.Target) *leg {
	run.attempts++
	run.round++
	ctx, cancel := context.WithCancel(run.ctx)
	return &leg{
		target: target, id: fmt.Sprintf("%s-%d", run.job.RequestID, run.attempts), ctx: ctx, cancel: cancel,
		started: time.Now(),
	}
}

// next returns the attempt to make after the given one, or nil.
func (run *run) next(leg *leg, verdict verdict) *leg {
	if verdict.kind == router.Good || verdict.kind == router.Cancelled || run.ctx.Err() != nil {
		return nil
	}
	if run.round >= retrier.MaxAttempts || !run.policy.MayRetry(verdict.attempt) {
		return nil
	}
	if verdict.kind == router.ConnectionLost && !verdict.fresh {
		run.freshOnly = true // the target may be well
	} else {
		run.tried = append(run.tried, leg.target.Path)
	}
	target, ok := run.pick(run.tried)
	if !ok {
		return nil
	}
	if verdict.attempt.Written && !run.service.withdraw(verdict) {
		run.forwarder.Picker.Done(router.Result{Target: target.Path, Kind: router.Cancelled}, Now())
		return nil
	}
	return run.newLeg(target)
}

// await sends the leg. If it may be sent twice and takes longer than the
// delay, it is sent over a new connection too, and the first answer counts.
func (run *run) await(first *leg, delay time.Duration) *leg {
	if !run.policy.Idempotent || !run.policy.Replayable {
		first.send(run, run.call(first))
		return first
	}
	race := &race{run: run, results: make(chan *leg, 2)}
	race.start(first)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		select {
		case leg := <-race.results:
			if race.decided(leg) {
				return leg
			}
		case <-timer.C:
			if second := run.hedge(first); second != nil {
				race.start(second)
			} else {
				timer.Reset(delay) // the budget may allow it later
			}
		}
	}
}

// hedge returns a second attempt beside the first, or nil.
func (run *run) hedge(first *leg) *leg {
	if run.round >= retrier.MaxAttempts || run.ctx.Err() != nil || !run.service.withdraw(verdict{}) {
		return nil
	}
	run.freshOnly = true
	target, ok := run.pick(append(run.tried, first.target.Path))
	if !ok {
		target, ok = run.pick(run.tried)
	}
	if !ok {
		return nil
	}
	return run.newLeg(target)
}

func (run *run) call(leg *leg) exchanger.Call {
	request := run.outgoing(leg.target, leg.id)
	call := exchanger.Call{
		Address: leg.target.Address.String(), Request: request,
		Streamed: run.body.streamed(), StopBody: run.body.stopReading, FreshOnly: run.freshOnly,
		BeforeWrite: func() error {
			run.setDeadline(request.Header)
			return run.recheck()
		},
	}
	if !run.policy.Idempotent {
		call.MaxIdleTime = provenWithin
	}
	return call
}

func (run *run) recheck() error {
	if err := run.ctx.Err(); err != nil {
		return err
	}
	if run.job.Recheck != nil && !run.job.Recheck() {
		return errWithdrawn
	}
	return nil
}

// settle closes a leg whose answer isn't passed on.
func (run *run) settle(leg *leg, verdict verdict) {
	if leg.answer != nil {
		leg.answer.Discard()
	}
	run.done(leg, verdict)
}

// done tells the picker how a leg ended.
func (run *run) done(leg *leg, verdict verdict) {
	leg.cancel()
	if verdict.kind == router.ConnectionLost && !verdict.fresh {
		run.forwarder.Exchanger.CloseIdle(leg.target.Address.String())
	}
	latency := leg.ended.Sub(leg.started)
	if verdict.kind == router.Good {
		run.service.observe(latency)
	}
	kind := verdict.kind
	if verdict.leaving {
		kind = router.Leaving
	}
	run.forwarder.Picker.Done(router.Result{
		Target: leg.target.Path, Kind: kind, Latency: latency, RetryAfter: verdict.retryAfter,
		FreshConnection: verdict.fresh, ReportedSlow: leg.waited,
	}, Now())
}
