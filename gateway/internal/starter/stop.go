package starter

import "time"

const (
	// noticeTime is how long the balancer may go on sending new connections
	// after readiness has ended: two checks a second apart, and a margin.
	noticeTime = 3 * time.Second
	// stopReserve is kept of the grace, so that the process ends by itself.
	stopReserve = 400 * time.Millisecond
	// stopPoll is how often the end of the requests is looked for.
	stopPoll = 50 * time.Millisecond
)

// stop ends readiness, goes on serving until the balancer has moved on, and
// then waits for the requests in progress.
func (starter *Starter) stop() {
	starter.leaving.Store(true)
	starter.receiver.Leave()
	started := time.Now()
	starter.Log.WithField("running", starter.receiver.InFlight()).Info("leaving")
	limit := starter.Settings.StopGrace - stopReserve
	time.Sleep(min(noticeTime, limit))
	for time.Since(started) < limit {
		starter.receiver.CloseIdle()
		if starter.receiver.OpenConnections() == 0 {
			break
		}
		time.Sleep(stopPoll)
	}
	starter.messages.leave()
	starter.Log.WithField("unfinished", starter.receiver.InFlight()).Info("stopped")
}
