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
func (run *run) enter() bool {
	if run.job.Organisation != nil {
		run.ticket.Organisation = run.job.Organisation.Path
	}
	started := make(chan struct{})
	run.ticket.Start = func() { close(started) }
	switch run.service.enter(&run.ticket, run.job.Service) {
	case queuer.Run:
		return true
	case queuer.Refuse:
		run.refuseOverload()
		return false
	}
	longest := run.patience()
	if run.wait(Now()) >= longest {
		longest = 0 // no target opens in time
	}
	patience := time.NewTimer(longest)
	defer patience.Stop()
	select {
	case <-started:
		return true
	case <-patience.C:
	case <-run.ctx.Done():
	}
	if !run.service.abandon(&run.ticket) {
		return true // started meanwhile
	}
	run.refuseOverload()
	return false
}

// leave gives the place back. Further calls do nothing.
func (run *run) leave(load queuer.Feedback) {
	if !run.left {
		run.left = true
		run.service.leave(&run.ticket, load)
	}
}

// patience returns how long the request may still wait for capacity.
func (run *run) patience() time.Duration {
	deadline, _ := run.ctx.Deadline()
	return retrier.CapacityWait(deadline.Sub(run.started)) - time.Since(run.started)
}

func (run *run) refuseOverload() {
	run.refuse(http.StatusServiceUnavailable, run.outcome(), "overloaded", "the service has no capacity left", max(time.Second, run.wait(Now())))
}

// wait returns how long it takes until a target of the service opens, and 0 if
// one is open or none is known.
func (run *run) wait(now time.Duration) time.Duration {
	return run.forwarder.Picker.WaitTime(run.job.Service.Path, now)
}

// start picks a target for the next attempt, and waits for one if it opens
// soon enough. It returns nil if there is none.
func (run *run) start() *leg {
	for {
		now := Now()
		if target, ok := run.pickAt(run.tried, now); ok {
			return run.newLeg(target)
		}
		wait := run.wait(now)
		if wait == 0 || !run.sleep(wait+shedPause()) {
			return nil
		}
	}
}

// shedPause returns a random pause, so that requests which wait for the same
// target don't return at once.
func shedPause() time.Duration {
	return time.Duration(rand.ExpFloat64() * float64(retrier.ShedBackoff))
}

// sleep waits for capacity. It reports false, at once if it can, where that
// isn't allowed or nobody waits for the request any more.
func (run *run) sleep(pause time.Duration) bool {
	if pause >= run.patience() {
		return false
	}
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-run.ctx.Done():
		return false
	}
}

// afterPause waits for capacity when all tried targets have refused for want
// of it, and returns the next attempt. It reports false if waiting isn't
// allowed; the leg is settled only otherwise.
func (run *run) afterPause(leg *leg, verdict verdict, held *heldAnswer) (next *leg, paused bool) {
	if verdict.kind != router.Shed || !verdict.attempt.SaidNotRun || !run.policy.Replayable || run.ctx.Err() != nil {
		return nil, false
	}
	if verdict.retryAfter > router.MinRetryAfter {
		return nil, false // longer than any request waits
	}
	pause := run.wait(Now()) + shedPause()
	if pause >= run.patience() || !run.service.withdraw(verdict) {
		return nil, false
	}
	held.release()
	run.settle(leg, verdict)
	run.service.learn(queuer.Shed)
	if !run.sleep(pause) {
		return nil, true
	}
	run.tried = nil
	run.round = 0
	return run.start(), true
}
