package forwarder

import "godwitramp.example/core/router"

// race is a leg and the one that was started beside it.
type race struct {
	run     *run
	results chan *leg
	running []*leg
}

func (race *race) start(leg *leg) {
	race.running = append(race.running, leg)
	call := race.run.call(leg)
	go func() {
		leg.send(race.run, call)
		race.results <- leg
	}()
}

// decided reports whether the leg that has ended is the one that counts. If
// so, the others are ended.
func (race *race) decided(ended *leg) bool {
	verdict := ended.judge(race.run.request.Context())
	good := verdict.kind == router.Good
	if !good && len(race.running) > 1 {
		race.remove(ended)
		race.settle(ended, verdict)
		return false
	}
	older := true
	for _, leg := range race.running {
		if leg == ended {
			older = false
			continue
		}
		leg.overtaken = older
		leg.needless = !older
		leg.cancel()
	}
	for range len(race.running) - 1 {
		loser := <-race.results
		verdict := loser.judge(race.run.request.Context())
		if verdict.kind == router.ConnectionLost && !verdict.fresh {
			race.run.service.refund()
		}
		race.settle(loser, verdict)
	}
	return true
}

func (race *race) settle(leg *leg, verdict verdict) {
	race.run.mayHaveRun = race.run.mayHaveRun || verdict.attempt.MayHaveRun()
	race.run.settle(leg, verdict)
}

func (race *race) remove(ended *leg) {
	for i, leg := range race.running {
		if leg == ended {
			race.running = append(race.running[:i], race.running[i+1:]...)
			return
		}
	}
}
