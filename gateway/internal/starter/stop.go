package starter

import (
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
	starter.Log.WithField("unfinished", starter.receiver.InFlight()+starter.forwarder.InFlight()).Info("stopped")
}

// giveUp answers the requests in progress instead of their targets.
func (starter *Starter) giveUp() {
	starter.Log.WithField("running", starter.receiver.InFlight()+starter.forwarder.InFlight()).Warn("requests-given-up")
	starter.receiver.GiveUp()
	starter.forwarder.GiveUp()
}
