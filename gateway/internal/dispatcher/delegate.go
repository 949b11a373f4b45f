package dispatcher

import (
	"context"
	"errors"
	"net/http"
	"time"

	"github.com/sirupsen/logrus"

	"godwitramp.example/core/assessor"
	"godwitramp.example/core/placer"
	"godwitramp.example/gateway/internal/forwarder"
	"godwitramp.example/shell/detector"
	"godwitramp.example/shell/exchanger"
)

// delegate passes the request on to another VM if this one can't reach the targets. It returns
// false if the next attempt should be made here, and as the second value whether one was started.
// Requests that another VM has passed on stay here.
func (handler *handler) delegate(ctx context.Context) (delegated, started bool) {
	dispatcher, job := handler.dispatcher, handler.job
	scope := handler.scope()
	if dispatcher.Forwarder == nil || job.call.From != "" || !dispatcher.state.delegates(scope, dispatcher.Clock()) {
		return false, false
	}
	dispatcher.probe(scope)
	peer, ok := dispatcher.choosePeer(scope.homes, handler.peers)
	if !ok {
		return false, false
	}
	left := job.targets - len(handler.tried) - handler.forwarded
	if left <= 0 {
		return true, false
	}
	if job.route.Idempotent && left > 1 {
		left-- // for another attempt, if this one gets lost on the way
	}
	if handler.reached > 0 && !dispatcher.state.withdrawRetry(job.service, dispatcher.Clock()) {
		return true, false
	}
	handler.attempts++
	handler.reached++
	handler.inFlight++
	handler.forwarded += left
	handler.peers = append(handler.peers, peer)
	attempt := &attempt{dispatcher: dispatcher, job: job, scope: scope, peer: peer, targets: left, number: handler.attempts}
	handler.run(attempt, func() { attempt.forward(ctx) })
	return true, true
}

// refusalIsolated is the answer to a request of another VM if this one can't reach the targets either.
var refusalIsolated = refusal{status: http.StatusServiceUnavailable, reason: "isolated", retryAfter: otherVMRetryAfter}

// outOfReach reports whether this VM should not try further targets: each costs the time of a failed
// connection. If another VM has passed the request on, that one finds a better VM sooner.
func (handler *handler) outOfReach() bool {
	dispatcher, scope, failed := handler.dispatcher, handler.scope(), len(handler.unreachable) > 0
	if handler.job.call.From != "" {
		return failed || dispatcher.state.isolated(scope)
	}
	return failed && dispatcher.state.isolated(scope) && !dispatcher.state.delegates(scope, dispatcher.Clock())
}

// choosePeer returns the address of a VM in the home regions, nil for all, to pass a request on to that was sent to
// the tried ones in vain.
func (dispatcher *Dispatcher) choosePeer(homes, tried []string) (string, bool) {
	candidates := dispatcher.Candidates()
	state := &dispatcher.state
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return state.paths.Choose(candidates, homes, tried, dispatcher.Clock(), state.random)
}

// forward passes the request on and classifies the answer of the other VM.
func (attempt *attempt) forward(ctx context.Context) {
	dispatcher := attempt.dispatcher
	attempt.started = time.Now()
	var err error
	if conditions, ok := attempt.conditions(); ok {
		attempt.forwarded, err = dispatcher.Forwarder.Forward(ctx, attempt.peer, attempt.job.call, conditions)
		if err != nil {
			attempt.verdict = classifyForwardFailure(ctx, err)
		} else {
			attempt.verdict = assessor.ClassifyForwarded(assessor.Forwarded{
				Status: attempt.forwarded.Status, FromTarget: attempt.forwarded.FromTarget, Abort: attempt.forwarded.Abort,
				NotRun: attempt.forwarded.NotRun, Targets: attempt.forwarded.Targets,
				Malformed: detector.CheckNames(attempt.forwarded.Header) != nil,
			})
		}
	} else {
		attempt.verdict = assessor.Verdict{Outcome: placer.Unknown, Reason: assessor.Withheld}
	}
	latency := time.Since(attempt.started)
	countAttempt(attempt.verdict, latency)
	dispatcher.state.recordForwarded(attempt, dispatcher.Clock())
	log := dispatcher.Log
	if err != nil {
		log = log.WithError(err)
	}
	log.WithFields(logrus.Fields{
		"request": attempt.job.metadata.ID, "attempt": attempt.number, "peer": attempt.peer, "service": attempt.job.service,
		"reason": attempt.verdict.Reason, "status": attempt.forwarded.Status, "duration": latency.Round(time.Millisecond),
		"may-have-run": attempt.verdict.MayHaveRun, "targets": attempt.forwarded.Targets, "not-run": attempt.forwarded.NotRun,
	}).Info("attempt-forwarded")
}

// conditions returns those on which the other VM serves the request, or false if it may not have it.
func (attempt *attempt) conditions() (forwarder.Conditions, bool) {
	version := attempt.job.index.Version
	if attempt.scope.homes != nil {
		// An earlier version may permit the other VM more regions.
		_, version = attempt.dispatcher.homes(attempt.job)
	}
	return forwarder.Conditions{
		Configuration: version, Restricted: attempt.scope.homes != nil, Targets: attempt.targets, Remaining: time.Until(attempt.job.deadline),
		BeforeWrite: func() error {
			if !attempt.mayForward() {
				return errWithheld
			}
			return nil
		},
	}, attempt.mayForward()
}

// mayForward reports whether the request may be sent to the other VM by the configuration known now. That VM was
// chosen by the home regions of the scope.
func (attempt *attempt) mayForward() bool {
	homes, _ := attempt.dispatcher.homes(attempt.job)
	current := scope{service: attempt.job.service, homes: homes}
	return attempt.dispatcher.maySend(attempt.job) && current.key() == attempt.scope.key()
}

// classifyForwardFailure returns the verdict on a request that another VM did not answer.
func classifyForwardFailure(ctx context.Context, err error) assessor.Verdict {
	written := true
	var exchange *exchanger.Error
	if errors.As(err, &exchange) {
		written = exchange.Written
	}
	verdict := assessor.Verdict{Outcome: placer.Unknown, MayHaveRun: written}
	switch {
	case errors.Is(err, errWithheld):
		verdict.MayHaveRun, verdict.Reason = false, assessor.Withheld
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		verdict.Reason = "timed-out"
	case ctx.Err() != nil:
		verdict.Reason = "cancelled"
	case written:
		verdict.Reason = "peer-lost"
	default:
		verdict.Reason = "peer-unreachable"
	}
	return verdict
}

// probe tries to open a connection to some target of an isolated scope, if it is time for that.
func (dispatcher *Dispatcher) probe(scope scope) {
	target, due := dispatcher.state.probeDue(scope, dispatcher.Clock())
	if !due {
		return
	}
	go func() {
		// It may outlast the request, by crashDialTimeout at most.
		if dispatcher.Exchanger.Reachable(context.Background(), target.Address, crashDialTimeout) {
			dispatcher.recordConnected(scope, target)
		} else {
			dispatcher.recordUnreachable(scope, target)
		}
	}()
}

// recordConnected records that a connection to a target of the scope was opened.
func (dispatcher *Dispatcher) recordConnected(scope scope, target placer.Target) {
	if dispatcher.state.recordConnected(scope, target, dispatcher.Clock()) {
		dispatcher.Log.WithFields(scope.fields(target)).Info("service-reachable")
	}
}

// recordUnreachable records that a target of the scope could not be reached.
func (dispatcher *Dispatcher) recordUnreachable(scope scope, target placer.Target) {
	if unreachable, isolated := dispatcher.state.recordUnreachable(scope, target, dispatcher.Clock()); isolated {
		countIsolation()
		dispatcher.Log.WithFields(scope.fields(target)).WithField("unreachable", unreachable).Warn("service-isolated")
	}
}

// fields are those of log lines about a target of the scope.
func (scope scope) fields(target placer.Target) logrus.Fields {
	fields := logrus.Fields{"service": scope.service, "target": target.ID}
	if scope.homes != nil {
		fields["home-regions"] = scope.homes
	}
	return fields
}

func (state *state) isolated(scope scope) bool {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return state.paths.Isolated(scope.key())
}

func (state *state) delegates(scope scope, now time.Duration) bool {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return state.paths.Delegates(scope.key(), now)
}

func (state *state) recordUnserved(scope scope, now time.Duration) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	state.paths.RecordUnserved(scope.key(), now)
}

// helpless reports whether the other VM can't reach the targets, or could not be reached itself. One
// that refuses for another reason may serve the next request.
func (attempt *attempt) helpless() bool {
	return attempt.forwarded.OutOfReach || attempt.verdict.Reason == "peer-unreachable" || attempt.verdict.Reason == "peer-lost"
}

// recordForwarded records whether another VM could serve a request.
func (state *state) recordForwarded(attempt *attempt, now time.Duration) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	switch {
	case attempt.verdict.Deliver != assessor.Never:
		state.paths.RecordServed(attempt.scope.key(), attempt.peer, now)
	case attempt.helpless():
		state.paths.RecordRefusal(attempt.peer, now)
	}
}

// withdrawRetry takes a retry out of the budget of a service. It returns false if there is none left.
func (state *state) withdrawRetry(service string, now time.Duration) bool {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	budget := state.budgets[service]
	if budget == nil {
		return true
	}
	state.believeReachable(budget, now)
	return budget.Withdraw(now)
}

// probeDue returns a target of an isolated scope to be probed, or false.
func (state *state) probeDue(scope scope, now time.Duration) (placer.Target, bool) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	target, ok := state.placer.Random(scope.service, scope.homes, state.random)
	return target, ok && state.paths.ProbeDue(scope.key(), now)
}

// recordConnected records that a connection to a target was opened, and reports whether the scope
// doesn't count as isolated any more.
func (state *state) recordConnected(scope scope, target placer.Target, now time.Duration) bool {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	reachable := state.paths.RecordConnected(scope.key(), target.ID, state.placer.Targets(scope.service, scope.homes))
	if reachable {
		state.placer.EndBackoffs(scope.service, scope.homes, now)
	}
	return reachable
}

// recordUnreachable records that a target could not be reached. It returns the number of those that
// can't, and whether the scope counts as isolated from now on. A target that has been evacuated meanwhile says nothing
// about those that are left.
func (state *state) recordUnreachable(scope scope, target placer.Target, now time.Duration) (int, bool) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	if state.placer.Evacuated(target.DataCentre) {
		return state.paths.Unreachable(scope.key()), false
	}
	isolated := state.paths.RecordUnreachable(scope.key(), target.ID, state.placer.Targets(scope.service, scope.homes), now)
	return state.paths.Unreachable(scope.key()), isolated
}
