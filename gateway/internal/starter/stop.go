package starter

import "time"

const (
	// balancerDrainTime is how long the balancer may still send new connections after
	// readiness has ended: two checks a second apart, and a margin.
	balancerDrainTime = 3 * time.Second
	// exitReserve is subtracted from the grace, so that the process exits by itself
	// within it.
	exitReserve = 400 * time.Millisecond
	// stopPollInterval is how often stop checks for open connections.
	stopPollInterval = 50 * time.Millisecond
)

// stop ends readiness, keeps serving until the balancer has stopped sending connections,
// and then waits until all are closed, at most until the grace ends.
func (starter *Starter) stop() {
	starter.leaving.Store(true)
	starter.receiver.Leave()
	stopTime := time.Now()
	starter.Log.WithField("running", starter.receiver.InFlight()).Info("leaving")
	limit := starter.Settings.StopGrace - exitReserve
	time.Sleep(min(balancerDrainTime, limit))
	for time.Since(stopTime) < limit {
		starter.receiver.CloseIdle()
		if starter.receiver.OpenConnections() == 0 {
			break
		}
		time.Sleep(stopPollInterval)
	}
	starter.messages.leave()
	starter.Log.WithField("unfinished", starter.receiver.InFlight()).Info("stopped")
}
