package placer

import (
	"math"
	"time"
)

// What is usual of targets that fail in part. Most targets do so now and then,
// for some seconds, behind a passing health check.
const (
	// onsetRate and recoveryRate are in events a second: a target is well for
	// twelve seconds on average and ill for five.
	onsetRate    = 1.0 / 12
	recoveryRate = 1.0 / 5
	// illFailures and wellFailures are the parts of the requests that targets
	// fail at once.
	unhealthyFailureRate = 0.7
	healthyFailureRate   = 0.002
	// stationary is the probability that a target is ill of which nothing has
	// been heard for long.
	stationaryProbability = onsetRate / (onsetRate + recoveryRate)
	// freshSuspicion is the probability that a target is ill which has just
	// started.
	initialSuspicion = 0.02
	// erredRatio is how much likelier a failure after the usual time is from a
	// target that is ill.
	failedLateRatio = 2
	// slowRatio is how much likelier an answer that is far too late is from a
	// target that is ill.
	slowRatio = 5
)

// Outcome is what an attempt says of its target.
type Outcome uint8

// The outcomes of attempts.
const (
	// Good is a whole answer in time.
	Good Outcome = iota
	// Failed is a failure that came at once, or a broken answer.
	Failed
	// Erred is a failure after the usual time, most often the request's own.
	FailedLate
	// Slow is an answer that has not come, or came far later than usual.
	Slow
	// Full is an answer that says the target has no room for the request.
	Full
	// Unreachable is a connection that could not be made.
	Unreachable
	// Gone is an answer of another target at the same address.
	Replaced
	// Unknown says nothing.
	Unknown
)

// suspicion is the probability that a target is ill, as of a time. Between
// observations it tends to what is usual.
type suspicion struct {
	probability float64
	updated     time.Duration
}

// at returns the probability at a later time.
func (suspicion suspicion) at(now time.Duration) float64 {
	elapsed := max(0, now-suspicion.updated).Seconds()
	return stationaryProbability + (suspicion.probability-stationaryProbability)*math.Exp(-(onsetRate+recoveryRate)*elapsed)
}

// observe takes the outcome of one attempt in.
func (suspicion *suspicion) observe(outcome Outcome, now time.Duration) {
	ratio := 1.0
	switch outcome {
	case Good:
		ratio = (1 - unhealthyFailureRate) / (1 - healthyFailureRate)
	case Failed:
		ratio = unhealthyFailureRate / healthyFailureRate
	case FailedLate:
		ratio = failedLateRatio
	case Slow:
		ratio = slowRatio
	}
	probability := suspicion.at(now)
	odds := ratio * probability / (1 - probability)
	suspicion.probability = min(maxSuspicion, odds/(1+odds))
	suspicion.updated = max(now, suspicion.updated)
}

// maxSuspicion keeps a target that failed many times from staying out for
// longer than one that failed a few times.
const maxSuspicion = 0.97
