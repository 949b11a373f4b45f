package forwarder

import "godwitramp.example/core/router"

// race runs an attempt and its hedge in parallel.
type race struct {
	handler  *handler
	done     chan *attempt
	inFlight []*attempt
}

func (race *race) start(attempt *attempt) {
	race.inFlight = append(race.inFlight, attempt)
	call := race.handler.newCall(attempt)
	go func() {
		attempt.send(race.handler, call)
		race.done <- attempt
	}()
}

// decided reports whether the result of the ended attempt counts: it is good, or no
// other attempt is in flight. If so, it cancels the other attempts and reports them.
func (race *race) decided(ended *attempt) bool {
	result := ended.classify(race.handler.callerGone())
	good := result.kind == router.Good
	if !good && len(race.inFlight) > 1 {
		race.remove(ended)
		race.discardAttempt(ended, result)
		return false
	}
	older := true
	for _, attempt := range race.inFlight {
		if attempt == ended {
			older = false
			continue
		}
		attempt.lostToNewer = older
		attempt.lostToOlder = !older
		attempt.cancel()
	}
	for range len(race.inFlight) - 1 {
		loser := <-race.done
		result := loser.classify(race.handler.callerGone())
		if result.kind == router.ConnectionLost && !result.freshConnection {
			race.handler.service.refund()
		}
		race.discardAttempt(loser, result)
	}
	return true
}

func (race *race) discardAttempt(attempt *attempt, result result) {
	race.handler.mayHaveRun = race.handler.mayHaveRun || result.delivery.MayHaveRun()
	race.handler.discardAttempt(attempt, result)
}

func (race *race) remove(ended *attempt) {
	for i, attempt := range race.inFlight {
		if attempt == ended {
			race.inFlight = append(race.inFlight[:i], race.inFlight[i+1:]...)
			return
		}
	}
}
