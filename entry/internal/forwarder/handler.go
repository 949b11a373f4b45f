package forwarder

import (
	"context"
	"errors"
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

// handler forwards one request: it makes the attempts and answers the caller.
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

	// tried are the targets that get no further attempt.
	tried    []configurator.Path
	attempts int
	// attemptsSinceBackoff counts the attempts since the last wait for capacity.
	attemptsSinceBackoff int
	// freshOnly makes further attempts use new connections. It is set once a reused
	// connection was lost and when the request is hedged.
	freshOnly bool
	// mayHaveRun is true once an attempt may have run the request.
	mayHaveRun bool
	record     Record
}

// serve makes attempts until one has an answer for the caller or no further one is
// allowed.
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
		result := attempt.classify(handler.callerGone())
		if attempt.err != nil && handler.body.failure.Load() != nil {
			result.kind = router.Cancelled // the caller's body failed, not the target
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

// callerGone reports whether the caller has disconnected. While the body is being read it must not be called.
func (handler *handler) callerGone() bool {
	return errors.Is(handler.request.Context().Err(), context.Canceled) && !handler.body.interrupted.Load()
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
	info := router.PickInfo{Service: handler.job.Service, Tried: tried, Now: now}
	return handler.forwarder.Picker.Pick(info, random)
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

// retry returns the next attempt after the given one, or nil if it must not or cannot
// be retried.
func (handler *handler) retry(attempt *attempt, result result) *attempt {
	if result.kind == router.Good || result.kind == router.Cancelled || handler.ctx.Err() != nil {
		return nil
	}
	if handler.attemptsSinceBackoff >= retrier.MaxAttempts || !handler.policy.MayRetry(result.delivery) {
		return nil
	}
	if result.kind == router.ConnectionLost && !result.freshConnection {
		handler.freshOnly = true // the target may be healthy
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

// awaitAnswer sends the attempt and returns the one whose result counts. If the request
// may be sent twice and no answer comes within the delay, it is hedged over a new
// connection.
func (handler *handler) awaitAnswer(first *attempt, delay time.Duration) *attempt {
	if !handler.policy.Idempotent || !handler.policy.Replayable {
		first.send(handler, handler.newCall(first))
		return first
	}
	race := &race{handler: handler, done: make(chan *attempt, 2)}
	race.start(first)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	for {
		select {
		case attempt := <-race.done:
			if race.decided(attempt) {
				return attempt
			}
		case <-timer.C:
			if second := handler.hedge(first); second != nil {
				race.start(second)
			} else {
				timer.Reset(delay) // the budget may allow a hedge later
			}
		}
	}
}

// hedge returns a second attempt to run in parallel to the first, on another target if
// there is one. It returns nil if none is allowed.
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
	handler.body.resumeReading()
	request := handler.outgoingRequest(attempt.target, attempt.id)
	call := exchanger.Call{
		Address: attempt.target.Address.String(), Request: request,
		Streamed: handler.body.streamed(), StopBody: func() { attempt.stopBody(&handler.body) }, FreshOnly: handler.freshOnly,
		Matches: attempt.matches,
		BeforeWrite: func() error {
			handler.setDeadline(request.Header)
			return handler.recheck()
		},
	}
	if !handler.policy.Idempotent {
		call.MaxIdleTime = reuseWindow
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

// discardAttempt ends an attempt whose answer isn't passed on.
func (handler *handler) discardAttempt(attempt *attempt, result result) {
	if attempt.answer != nil {
		attempt.answer.Discard()
	}
	handler.reportAttempt(attempt, result)
}

// reportAttempt reports the result of an attempt to the picker and the log.
func (handler *handler) reportAttempt(attempt *attempt, result result) {
	attempt.cancel()
	handler.logAttempt(attempt, result)
	if result.kind == router.ConnectionLost && !result.freshConnection {
		handler.forwarder.Exchanger.CloseIdle(attempt.target.Address.String())
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
