package placer

import (
	"math"
	"time"
)

// The model of gray failures: most targets become unhealthy now and then, for some
// seconds, while their health check passes.
const (
	// onsetRate and recoveryRate are transitions per second: a target stays healthy
	// for twelve seconds on average and unhealthy for five.
	onsetRate    = 1.0 / 12
	recoveryRate = 1.0 / 5
	// unhealthyFailureRate and healthyFailureRate are the probabilities that a
	// target fails a request at once.
	unhealthyFailureRate = 0.7
	healthyFailureRate   = 0.002
	// stationaryProbability is the probability that a target is unhealthy without
	// recent observations.
	stationaryProbability = onsetRate / (onsetRate + recoveryRate)
	// initialSuspicion is the probability that a target is unhealthy right after its
	// start.
	initialSuspicion = 0.02
	// failedLateRatio is the likelihood ratio, unhealthy to healthy, of a failure
	// after the usual time.
	failedLateRatio = 2
	// slowRatio is the likelihood ratio, unhealthy to healthy, of an answer that is
	// far too late.
	slowRatio = 5
)

// Outcome is what the result of an attempt shows about its target.
type Outcome uint8

// The outcomes of attempts.
const (
	// Good is a complete answer in time.
	Good Outcome = iota
	// Failed is an immediate failure, or a broken answer.
	Failed
	// FailedLate is a failure after the usual time, most often caused by the request
	// itself.
	FailedLate
	// Slow is an answer that has not arrived, or arrived far later than usual.
	Slow
	// Full is an answer that the target has no capacity for the request.
	Full
	// Unreachable is a connection that could not be established.
	Unreachable
	// Replaced is an answer of another target at the same address.
	Replaced
	// Unknown shows nothing about the target.
	Unknown
)

// suspicion is the estimated probability that a target is unhealthy, as of a time.
// Between observations it converges to stationaryProbability.
type suspicion struct {
	probability float64
	updated     time.Duration
}

// at returns the probability at a later time.
func (suspicion suspicion) at(now time.Duration) float64 {
	elapsed := max(0, now-suspicion.updated).Seconds()
	return stationaryProbability + (suspicion.probability-stationaryProbability)*math.Exp(-(onsetRate+recoveryRate)*elapsed)
}

// observe updates the probability with the outcome of one attempt by Bayes' rule.
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

// maxSuspicion keeps a target that failed many times from being avoided for longer
// than one that failed a few times.
const maxSuspicion = 0.97
