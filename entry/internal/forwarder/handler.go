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
type handler struct {
	forwarder *Forwarder
	writer    http.ResponseWriter
	request   *http.Request
	job       Job
	ctx       context.Context
	started   time.Time

	service   *service
	ticket    queuer.Ticket
	leftQueue bool
	body      requestBody
	header    http.Header
	policy    retrier.Request

	// tried targets get the request no more.
	tried    []configurator.Path
	attempts int
	// round counts the attempts since the last pause.
	attemptsSinceBackoff int
	// freshOnly is set once a kept connection was lost.
	freshOnly bool
	// mayHaveRun is true once an attempt may have run the request.
	mayHaveRun bool
	record     Record
}

// serve makes attempts until one gives an answer or none is allowed.
func (handler *handler) serve() {
	handler.header = outgoingHeader(handler.request, handler.job)
	handler.policy = retrier.Request{Idempotent: idempotent(handler.request.Method, handler.job.Route), Replayable: !handler.body.streamed()}
	delay := handler.service.beginRequest(handler.job.Service.ObjectiveLatency)
	if !handler.enterQueue() {
		return
	}
	defer handler.leaveQueue(queuer.Unknown)
	attempt := handler.waitForTarget()
	for {
		if attempt == nil {
			handler.refuseNoTarget()
			return
		}
		attempt = handler.awaitAnswer(attempt, delay)
		result := attempt.classify(handler.request.Context())
		if attempt.err != nil && handler.body.err != nil {
			result.kind = router.Cancelled // the caller's doing
		}
		var buffered *bufferedAnswer
		if attempt.deliverable(result) {
			buffered = handler.bufferAnswer(attempt, &result)
		}
		handler.mayHaveRun = handler.mayHaveRun || result.delivery.MayHaveRun()
		next := handler.retry(attempt, result)
		if next == nil {
			var backedOff bool
			if next, backedOff = handler.retryAfterBackoff(attempt, result, buffered); backedOff {
				attempt = next
				continue
			}
			handler.finish(attempt, result, buffered)
			return
		}
		buffered.release()
		handler.discardAttempt(attempt, result)
		attempt = next
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

func (handler *handler) pick(tried []configurator.Path) (configurator.Target, bool) {
	return handler.pickAt(tried, Now())
}

func (handler *handler) pickAt(tried []configurator.Path, now time.Duration) (configurator.Target, bool) {
	random := randomPool.Get().(*rand.Rand)
	defer randomPool.Put(random)
	ask := router.Ask{Service: handler.job.Service, Tried: tried, Now: now}
	return handler.forwarder.Picker.Pick(ask, random)
}

func (handler *handler) newAttempt(target configurator.Target) *attempt {
	handler.attempts++
	handler.attemptsSinceBackoff++
	ctx, cancel := context.WithCancel(handler.ctx)
	return &attempt{
		target: target, id: fmt.Sprintf("%s-%d", handler.job.RequestID, handler.attempts), ctx: ctx, cancel: cancel,
		started: time.Now(),
	}
}

// retry returns the attempt to make after the given one, or nil.
func (handler *handler) retry(attempt *attempt, result result) *attempt {
	if result.kind == router.Good || result.kind == router.Cancelled || handler.ctx.Err() != nil {
		return nil
	}
	if handler.attemptsSinceBackoff >= retrier.MaxAttempts || !handler.policy.MayRetry(result.delivery) {
		return nil
	}
	if result.kind == router.ConnectionLost && !result.freshConnection {
		handler.freshOnly = true // the target may be well
	} else {
		handler.tried = append(handler.tried, attempt.target.Path)
	}
	target, ok := handler.pick(handler.tried)
	if !ok {
		return nil
	}
	if result.delivery.Written && !handler.service.withdrawRetry(result) {
		handler.forwarder.Picker.Done(router.Result{Target: target.Path, Kind: router.Cancelled}, Now())
		return nil
	}
	return handler.newAttempt(target)
}

// await sends the leg. If it may be sent twice and takes longer than the
// delay, it is sent over a new connection too, and the first answer counts.
func (handler *handler) awaitAnswer(first *attempt, delay time.Duration) *attempt {
	if !handler.policy.Idempotent || !handler.policy.Replayable {
		first.send(handler, handler.newCall(first))
		return first
	}
	race := &race{handler: handler, results: make(chan *attempt, 2)}
	race.start(first)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		select {
		case attempt := <-race.results:
			if race.decided(attempt) {
				return attempt
			}
		case <-timer.C:
			if second := handler.hedge(first); second != nil {
				race.start(second)
			} else {
				timer.Reset(delay) // the budget may allow it later
			}
		}
	}
}

// hedge returns a second attempt beside the first, or nil.
func (handler *handler) hedge(first *attempt) *attempt {
	if handler.attemptsSinceBackoff >= retrier.MaxAttempts || handler.ctx.Err() != nil || !handler.service.withdrawRetry(result{}) {
		return nil
	}
	handler.freshOnly = true
	target, ok := handler.pick(append(handler.tried, first.target.Path))
	if !ok {
		target, ok = handler.pick(handler.tried)
	}
	if !ok {
		return nil
	}
	return handler.newAttempt(target)
}

func (handler *handler) newCall(attempt *attempt) exchanger.Call {
	request := handler.outgoingRequest(attempt.target, attempt.id)
	call := exchanger.Call{
		Address: attempt.target.Address.String(), Request: request,
		Streamed: handler.body.streamed(), StopBody: handler.body.stopReading, FreshOnly: handler.freshOnly,
		BeforeWrite: func() error {
			handler.setDeadline(request.Header)
			return handler.recheck()
		},
	}
	if !handler.policy.Idempotent {
		call.ReuseWithin = reuseWindow
	}
	return call
}

func (handler *handler) recheck() error {
	if err := handler.ctx.Err(); err != nil {
		return err
	}
	if handler.job.Recheck != nil && !handler.job.Recheck() {
		return errKeyWithdrawn
	}
	return nil
}

// settle closes a leg whose answer isn't passed on.
func (handler *handler) discardAttempt(attempt *attempt, result result) {
	if attempt.answer != nil {
		attempt.answer.Discard()
	}
	handler.reportAttempt(attempt, result)
}

// done tells the picker how a leg ended.
func (handler *handler) reportAttempt(attempt *attempt, result result) {
	attempt.cancel()
	if result.kind == router.ConnectionLost && !result.freshConnection {
		handler.forwarder.Exchanger.Forget(attempt.target.Address.String())
	}
	latency := attempt.ended.Sub(attempt.started)
	if result.kind == router.Good {
		handler.service.recordSuccess(latency)
	}
	kind := result.kind
	if result.leaving {
		kind = router.Leaving
	}
	handler.forwarder.Picker.Done(router.Result{
		Target: attempt.target.Path, Kind: kind, Latency: latency, RetryAfter: result.retryAfter,
		FreshConnection: result.freshConnection, ReportedSlow: attempt.reportedSlow,
	}, Now())
}
