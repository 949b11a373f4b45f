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
	patience := time.NewTimer(run.patience())
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
func (run *run) leave(load queuer.Load) {
	if !run.left {
		run.left = true
		run.service.leave(&run.ticket, load)
	}
}

// patience returns how long the request may still wait for capacity.
func (run *run) patience() time.Duration {
	deadline, _ := run.ctx.Deadline()
	return retrier.Patience(deadline.Sub(run.started)) - time.Since(run.started)
}

func (run *run) refuseOverload() {
	run.refuse(http.StatusServiceUnavailable, run.outcome(), "overloaded", "the service has no capacity left", time.Second)
}

// afterPause waits for capacity when all tried targets have refused for want
// of it, and returns the next attempt. It reports false if waiting isn't
// allowed; the leg is settled only otherwise.
func (run *run) afterPause(leg *leg, verdict verdict, held *heldAnswer) (next *leg, paused bool) {
	if verdict.kind != router.Shed || !verdict.attempt.SaidNotRun || !run.policy.Replayable || run.ctx.Err() != nil {
		return nil, false
	}
	pause := max(verdict.retryAfter, time.Duration(rand.ExpFloat64()*float64(retrier.ShedPause)))
	if pause >= run.patience() || !run.service.withdraw(verdict) {
		return nil, false
	}
	held.release()
	run.settle(leg, verdict)
	run.service.learn(queuer.Shed)
	timer := time.NewTimer(pause)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-run.ctx.Done():
	}
	run.tried = nil
	run.round = 0
	return run.start(), true
}
