package starter

import (
	"context"
	"time"

	"godwitramp.example/core/drainer"
)

const (
	// balancerDrain is two checks of the balancer a second apart, and a margin.
	balancerDrain = 3 * time.Second
	exitReserve   = 250 * time.Millisecond
	answerReserve = 150 * time.Millisecond
	// stopPollInterval is how often stop checks for open connections.
	stopPollInterval = 50 * time.Millisecond
	// deregisterTimeout is how long the VM waits for the store at the end of its stop. It is a part of exitReserve.
	deregisterTimeout = 100 * time.Millisecond
)

// stop ends readiness, keeps serving until the balancer has stopped sending connections,
// and then waits until all are closed. Shortly before the grace ends it gives up the requests
// in progress.
func (starter *Starter) stop() {
	policy := drainer.Policy{BalancerDrain: balancerDrain, Grace: starter.Settings.StopGrace, ExitReserve: exitReserve, AnswerReserve: answerReserve}
	starter.leaving.Store(true)
	starter.dispatcher.Leave(policy)
	starter.receiver.Leave()
	stopTime := time.Now()
	announcing, cancel := context.WithTimeout(context.Background(), policy.GiveUpTime())
	defer cancel()
	go starter.announceStop(announcing)
	starter.Log.WithField("running", starter.receiver.InFlight()).Info("leaving")
	time.Sleep(policy.DrainTime())
	giveUp := time.AfterFunc(policy.GiveUpTime()-time.Since(stopTime), starter.giveUp)
	defer giveUp.Stop()
	for time.Since(stopTime) < policy.Limit() {
		starter.receiver.CloseIdle()
		if starter.receiver.OpenConnections() == 0 && starter.forwarder.InFlight() == 0 {
			break
		}
		time.Sleep(stopPollInterval)
	}
	starter.messages.leave()
	starter.deregister()
	starter.Log.WithField("unfinished", starter.receiver.InFlight()+starter.forwarder.InFlight()).Info("stopped")
}

// announceStop tells the store that the VM stops, if it has joined.
func (starter *Starter) announceStop(ctx context.Context) {
	registrar := starter.registrar.Load()
	if registrar == nil {
		return
	}
	if err := registrar.Announce(ctx, starter.member()); err != nil {
		starter.Log.WithError(err).Warn("stop-not-announced")
	}
}

// deregister removes the VM from the store, as it serves no more.
func (starter *Starter) deregister() {
	registrar := starter.registrar.Load()
	if registrar == nil {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), deregisterTimeout)
	defer cancel()
	if err := registrar.Deregister(ctx, starter.member()); err != nil {
		starter.Log.WithError(err).Warn("not-deregistered")
	}
}

// giveUp answers the requests in progress instead of their targets.
func (starter *Starter) giveUp() {
	starter.Log.WithField("running", starter.receiver.InFlight()+starter.forwarder.InFlight()).Warn("requests-given-up")
	starter.receiver.GiveUp()
	starter.forwarder.GiveUp()
}
