package forwarder

import (
	"math/rand/v2"
	"net/http"
	"time"

	"godwitramp.example/core/queuer"
	"godwitramp.example/core/retrier"
	"godwitramp.example/core/router"
)

// enterQueue waits until the queue of the service lets the request start. It reports
// false if it has refused the request instead.
func (handler *handler) enterQueue() bool {
	if handler.job.Organisation != nil {
		handler.ticket.Organisation = handler.job.Organisation.Path
	}
	started := make(chan struct{})
	handler.ticket.Start = func() { close(started) }
	switch handler.service.enterQueue(&handler.ticket, handler.job.Service) {
	case queuer.Run:
		return true
	case queuer.Refuse:
		handler.refuseOverload()
		return false
	}
	maxWait := handler.capacityWait()
	if handler.targetWait(Now()) >= maxWait {
		maxWait = 0 // no target accepts requests in time
	}
	timer := time.NewTimer(maxWait)
	defer timer.Stop()
	select {
	case <-started:
		return true
	case <-timer.C:
	case <-handler.ctx.Done():
	}
	if !handler.service.abandon(&handler.ticket) {
		return true // the queue has just started the request
	}
	handler.refuseOverload()
	return false
}

// leaveQueue ends the request's turn in the queue. Further calls do nothing.
func (handler *handler) leaveQueue(feedback queuer.Feedback) {
	if !handler.leftQueue {
		handler.leftQueue = true
		handler.service.leaveQueue(&handler.ticket, feedback)
	}
}

// capacityWait returns how long the request may still wait for capacity.
func (handler *handler) capacityWait() time.Duration {
	deadline, _ := handler.ctx.Deadline()
	return retrier.CapacityWait(deadline.Sub(handler.started)) - time.Since(handler.started)
}

func (handler *handler) refuseOverload() {
	handler.refuse(http.StatusServiceUnavailable, handler.outcome(), "overloaded", "the service has no capacity left", max(time.Second, handler.targetWait(Now())))
}

// targetWait returns the time until a target of the service accepts requests. It is 0
// if one does now or if none is known.
func (handler *handler) targetWait(now time.Duration) time.Duration {
	return handler.forwarder.Picker.WaitTime(handler.job.Service.Path, now)
}

// waitForTarget returns an attempt at a target. If none accepts requests now, it waits
// until one does, or returns nil if that would take longer than the request may wait.
func (handler *handler) waitForTarget() *attempt {
	for {
		now := Now()
		if target, ok := handler.pickAt(handler.tried, now); ok {
			return handler.newAttempt(target)
		}
		wait := handler.targetWait(now)
		if wait == 0 || !handler.sleep(wait+shedBackoff()) {
			return nil
		}
	}
}

// shedBackoff returns a random backoff, so that requests that wait for the same target
// aren't all retried at the same time.
func shedBackoff() time.Duration {
	return time.Duration(rand.ExpFloat64() * float64(retrier.ShedBackoff))
}

// sleep waits for the backoff. It reports false, without a wait, if the backoff is
// longer than the request may wait for capacity, and if the request is cancelled or
// reaches its deadline meanwhile.
func (handler *handler) sleep(backoff time.Duration) bool {
	if backoff >= handler.capacityWait() {
		return false
	}
	timer := time.NewTimer(backoff)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-handler.ctx.Done():
		return false
	}
}

// retryAfterBackoff waits for capacity if the attempt was shed and can't be retried at
// once, and returns the next attempt, or nil if there is none. It reports false if the
// request may not wait; the caller must then finish the given attempt.
func (handler *handler) retryAfterBackoff(attempt *attempt, result result, buffered *bufferedAnswer) (next *attempt, backedOff bool) {
	mayRetry := result.saidNotRun && handler.policy.Replayable && handler.policy.MayRetry(result.delivery)
	if result.kind != router.Shed || !mayRetry || handler.ctx.Err() != nil {
		return nil, false
	}
	if result.retryAfter > router.MinRetryAfter {
		return nil, false // longer than any request may wait for capacity
	}
	backoff := handler.targetWait(Now()) + shedBackoff()
	if backoff >= handler.capacityWait() || !handler.service.withdrawRetry(result) {
		return nil, false
	}
	buffered.release()
	handler.discardAttempt(attempt, result)
	handler.service.adjustLimit(queuer.Shed)
	if !handler.sleep(backoff) {
		return nil, true
	}
	handler.tried = nil
	handler.attemptsSinceBackoff = 0
	return handler.waitForTarget(), true
}
