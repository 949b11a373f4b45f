package forwarder

import (
	"math/rand/v2"
	"net/http"
	"time"

	"godwitramp.example/core/queuer"
	"godwitramp.example/core/retrier"
	"godwitramp.example/core/router"
)

// enter waits until the request has a place in the work in progress of its
// service. It reports false if the request was answered instead.
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
		maxWait = 0 // no target opens in time
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
		return true // started meanwhile
	}
	handler.refuseOverload()
	return false
}

// leave gives the place back. Further calls do nothing.
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

// targetWait returns how long it takes until a target of the service opens, and 0 if
// one is open or none is known.
func (handler *handler) targetWait(now time.Duration) time.Duration {
	return handler.forwarder.Picker.WaitTime(handler.job.Service.Path, now)
}

// waitForTarget picks a target for the next attempt, and waits for one if it opens
// soon enough. It returns nil if there is none.
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

// shedPause returns a random pause, so that requests which wait for the same
// target don't return at once.
func shedBackoff() time.Duration {
	return time.Duration(rand.ExpFloat64() * float64(retrier.ShedBackoff))
}

// sleep waits for capacity. It reports false, at once if it can, where that
// isn't allowed or nobody waits for the request any more.
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

// afterPause waits for capacity when all tried targets have refused for want
// of it, and returns the next attempt. It reports false if waiting isn't
// allowed; the leg is settled only otherwise.
func (handler *handler) retryAfterBackoff(attempt *attempt, result result, buffered *bufferedAnswer) (next *attempt, backedOff bool) {
	if result.kind != router.Shed || !result.delivery.SaidNotRun || !handler.policy.Replayable || handler.ctx.Err() != nil {
		return nil, false
	}
	if result.retryAfter > router.MinRetryAfter {
		return nil, false // longer than any request waits
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
