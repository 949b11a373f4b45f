package dispatcher

import (
	"cmp"
	"context"
	"errors"
	"sync"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"

	"godwitramp.example/core/indexer"
	"godwitramp.example/core/placer"
	"godwitramp.example/core/quarantiner"
	"godwitramp.example/gateway/internal/messenger"
	"godwitramp.example/shell/exchanger"
	"godwitramp.example/shell/recoverer"
)

// defaultLookDelay applies to routes without a latency objective while the usual latency is unknown.
const defaultLookDelay = time.Second

// watch runs the looks at the target of an attempt that isn't answered whole.
type watch struct {
	quarantiner.Watch
	mutex sync.Mutex
	timer *time.Timer
	// outstanding fires when the attempt counts as outstanding, nil if it never does.
	outstanding *time.Timer
	ended       bool
}

// startWatch begins to look at the target from time to time until endWatch.
func (attempt *attempt) startWatch() {
	watch := &attempt.watch
	objective := cmp.Or(attempt.job.route.LatencyObjective, defaultLookDelay)
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	watch.Usual = attempt.dispatcher.latency.hedgeDelay(attempt.job.service, objective)
	watch.timer = time.AfterFunc(watch.Next(), func() { attempt.recoverLook(attempt.lookAgain) })
	if after := outstandingAfter(attempt.job.route); after > 0 {
		watch.outstanding = time.AfterFunc(after, func() { attempt.recoverLook(attempt.recordOutstanding) })
	}
}

// outstandingAfter returns how long an attempt lasts before it counts as outstanding, 0 for never. A request that must
// run once can't be sent to another target, so that its attempt counts as soon as an idempotent request is hedged at the
// latest.
func outstandingAfter(route *indexer.Route) time.Duration {
	if route.Idempotent {
		return route.LatencyObjective
	}
	return time.Duration(hedgeFraction * float64(route.LatencyObjective))
}

// recordOutstanding records that the attempt isn't answered after outstandingAfter, and tells the other VMs: with few requests each of them would otherwise find out at a deadline of its own that the target hangs.
func (attempt *attempt) recordOutstanding() {
	dispatcher, target := attempt.dispatcher, attempt.target
	if !attempt.written.Load() || attempt.job.answered.Load() {
		return
	}
	now := dispatcher.Clock()
	recorded, tell, suspicion := dispatcher.state.outstanding(target, now-time.Since(attempt.started), now)
	if !recorded {
		return
	}
	attempt.outstanding.Store(true)
	countOutstanding()
	dispatcher.Log.WithFields(logrus.Fields{
		"request": attempt.job.metadata.ID, "attempt": attempt.number, "target": target.ID, "service": target.Service,
		"waited": time.Since(attempt.started).Round(time.Millisecond), "suspicion-after": suspicion, "told": tell,
	}).Info("attempt-outstanding")
	if tell {
		event := messenger.Event{Kind: messenger.AttemptOutcome, Name: target.ID, Outcome: placer.Slow}
		dispatcher.Messenger.SendToGroup(event)
		dispatcher.Messenger.SendToFleet(event)
	}
}

// outcome returns what the end of the attempt shows about its target. That it took long was recorded already if it
// was outstanding.
func (attempt *attempt) outcome() placer.Outcome {
	if attempt.verdict.Outcome == placer.Slow && attempt.outstanding.Load() {
		return placer.Unknown
	}
	return attempt.verdict.Outcome
}

// outstanding records that an attempt which started at a time is not answered yet, see placer.Outstanding. It also
// returns the target's suspicion after that.
func (state *state) outstanding(target placer.Target, startedAt, now time.Duration) (recorded, tell bool, suspicion float64) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	recorded, tell = state.placer.Outstanding(target, startedAt, now)
	return recorded, tell, state.placer.Suspicion(target.ID, now)
}

// recoverLook runs a look in the background.
func (attempt *attempt) recoverLook(look func()) {
	recoverer.Do(attempt.dispatcher.Log.WithField("request", attempt.job.metadata.ID), look)
}

func (attempt *attempt) lookAgain() {
	if attempt.written.Load() && attempt.look(answerRecent) == quarantiner.Crashed {
		return
	}
	watch := &attempt.watch
	watch.mutex.Lock()
	defer watch.mutex.Unlock()
	if !watch.ended {
		watch.timer.Reset(watch.Next())
	}
}

// stopOutstanding keeps the attempt from counting as outstanding once its answer has begun or it has failed.
func (attempt *attempt) stopOutstanding() {
	if outstanding := attempt.watch.outstanding; outstanding != nil {
		outstanding.Stop()
	}
}

// endWatch ends the looks. If the attempt has ended with err, without a whole answer, while its connection stayed open,
// it looks once more: a caller's deadline may be shorter than the usual latency.
func (attempt *attempt) endWatch(err error) {
	watch := &attempt.watch
	watch.mutex.Lock()
	watch.ended = true
	watch.timer.Stop()
	watch.mutex.Unlock()
	var exchange *exchanger.Error
	unwritten := errors.As(err, &exchange) && !exchange.Written
	if err == nil || unwritten || attempt.silent.Load() || attempt.job.answered.Load() {
		return
	}
	if errors.Is(err, context.DeadlineExceeded) || errors.Is(err, context.Canceled) || errors.Is(err, syscall.ETIMEDOUT) {
		// It may outlast the request, by three times crashDialTimeout at most.
		go attempt.recoverLook(func() {
			if attempt.look(0) == quarantiner.Alive && errors.Is(err, context.Canceled) {
				attempt.lookAfterCancel()
			}
		})
	}
}

// maxLaterLooks limits the attempts that wait for a look after their caller has left, as they keep the bodies of their requests.
const maxLaterLooks = 64

// lookAfterCancel looks once more at the target of an attempt that the caller has ended, after the time in which it would
// usually have been answered: a target goes on with a request whose caller has left, and may crash then.
func (attempt *attempt) lookAfterCancel() {
	waiting := &attempt.dispatcher.laterLooks
	if waiting.Add(1) > maxLaterLooks {
		waiting.Add(-1)
		return
	}
	delay := (&quarantiner.Watch{Usual: attempt.watch.Usual}).Next()
	time.AfterFunc(delay, func() {
		defer waiting.Add(-1)
		attempt.recoverLook(func() { attempt.look(0) })
	})
}

// look finds out whether the target has crashed without ending its connections, and records that once. An
// answer of the target to another attempt shows that it has not if it is no older than recent.
func (attempt *attempt) look(recent time.Duration) quarantiner.Finding {
	dispatcher, target := attempt.dispatcher, attempt.target
	if !dispatcher.state.present(target) {
		return quarantiner.Alive // a target that leaves ends in time
	}
	if recent > 0 && dispatcher.state.answeredSince(target, dispatcher.Clock()-recent) {
		return quarantiner.Alive
	}
	look, lookedAt := dispatcher.looks.at(dispatcher, target)
	finding := look.Judge()
	countLook(finding)
	if finding == quarantiner.Alive || attempt.job.answered.Load() {
		return finding
	}
	waited := time.Since(attempt.started)
	log := dispatcher.Log.WithFields(logrus.Fields{
		"request": attempt.job.metadata.ID, "attempt": attempt.number, "target": target.ID, "service": target.Service,
		"incarnation": target.Incarnation, "waited": waited.Round(time.Millisecond), "finding": finding,
	})
	if fingerprint, ok := dispatcher.fingerprint(attempt.job); ok {
		log = log.WithField("fingerprint", fingerprint)
	}
	if finding == quarantiner.Crashed && !attempt.silent.CompareAndSwap(false, true) {
		return finding // recorded already
	}
	log.Info("target-silent")
	if finding == quarantiner.Crashed {
		attempt.recordCrash(dispatcher.Clock()-waited, lookedAt)
	}
	return finding
}

// looks joins the looks at a target that many attempts wait for.
type looks struct {
	mutex   sync.Mutex
	running map[quarantiner.Instance]*runningLook
}

type runningLook struct {
	done  chan struct{}
	look  quarantiner.Look
	begun time.Duration
}

// at returns what a look at the target shows, and when it began.
func (looks *looks) at(dispatcher *Dispatcher, target placer.Target) (quarantiner.Look, time.Duration) {
	instance := quarantiner.Instance{Target: target.ID, Incarnation: target.Incarnation}
	looks.mutex.Lock()
	if running := looks.running[instance]; running != nil {
		looks.mutex.Unlock()
		<-running.done
		return running.look, running.begun
	}
	running := &runningLook{done: make(chan struct{}), begun: dispatcher.Clock()}
	if looks.running == nil {
		looks.running = make(map[quarantiner.Instance]*runningLook)
	}
	looks.running[instance] = running
	looks.mutex.Unlock()
	defer func() {
		looks.mutex.Lock()
		delete(looks.running, instance)
		looks.mutex.Unlock()
		close(running.done)
	}()
	running.look = dispatcher.lookAt(target, running.begun)
	return running.look, running.begun
}

// answerRecent is the time within which an answer shows that a target is up, if it is looked at again later.
const answerRecent = 100 * time.Millisecond

// lookAt dials the target and, if that fails, the targets that answered this VM last, unless one has
// answered since now, and then the first once more: the VM's path may have been cut for a moment.
func (dispatcher *Dispatcher) lookAt(target placer.Target, now time.Duration) quarantiner.Look {
	state := &dispatcher.state
	if dispatcher.Exchanger.Reachable(context.Background(), target.Address, crashDialTimeout) {
		return quarantiner.Look{Reachable: true}
	}
	state.recordSilent(target, dispatcher.Clock())
	witnesses, answeredAt := state.witnesses(target)
	if len(witnesses) == 0 || answeredAt < now && !dispatcher.anyReachable(witnesses) {
		return quarantiner.Look{}
	}
	return quarantiner.Look{
		OthersReachable: true, Reachable: dispatcher.Exchanger.Reachable(context.Background(), target.Address, crashDialTimeout),
	}
}

// anyReachable dials the targets at the same time, and reports whether one is reachable.
func (dispatcher *Dispatcher) anyReachable(targets []placer.Target) bool {
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	results := make(chan bool, len(targets))
	for _, target := range targets {
		go func() { results <- dispatcher.Exchanger.Reachable(ctx, target.Address, crashDialTimeout) }()
	}
	for range targets {
		if <-results {
			return true
		}
	}
	return false
}

// present reports whether the target is still the same and isn't leaving.
func (state *state) present(target placer.Target) bool {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return state.placer.Present(target)
}

func (state *state) answeredSince(target placer.Target, since time.Duration) bool {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return state.placer.AnsweredSince(target, since)
}

func (state *state) witnesses(other placer.Target) ([]placer.Target, time.Duration) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	return state.placer.Witnesses(other)
}

func (state *state) recordSilent(target placer.Target, now time.Duration) {
	state.mutex.Lock()
	defer state.mutex.Unlock()
	state.placer.RecordSilent(target, now)
}
