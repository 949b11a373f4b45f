package router

import (
	"math"
	"time"

	"godwitramp.example/core/configurator"
)

// LeavingTTL is how long a target gets no requests after it announced that it is
// leaving. Each further announcement extends it.
const LeavingTTL = 30 * time.Second

// MinRetryAfter is the shortest pause that an upstream can ask for in a Retry-After field.
const MinRetryAfter = time.Second

const (
	// initialShare is the fraction of its normal traffic that a new or returning
	// target gets at first.
	initialShare = 0.05
	// rampLength is the time in which that fraction rises to 1.
	rampLength = 10 * time.Second

	// maxShedBackoff caps the pause that a shed answer asks for.
	maxShedBackoff = 30 * time.Second
	// maxDoublings caps the exponential backoff after shed answers.
	maxDoublings = 20

	// shedHalfLife is the half-life of the weight of shed answers.
	shedHalfLife = time.Second
	// loadFreshness is the age up to which a load that the target reported is used.
	loadFreshness = 2 * time.Second
	// latencyWeight is the weight of a new latency in the moving average.
	latencyWeight = 0.2

	// A target is avoided once its score of bad answers reaches avoidScore. Each bad
	// answer adds 1, each good one takes off goodCredit.
	avoidScore = 3.0
	goodCredit = 0.25
	// minAvoidance and maxAvoidance bound how long a target is avoided.
	minAvoidance = 2 * time.Second
	maxAvoidance = time.Minute
	// maxPressure caps the pressure of a target, so that at least a tenth of the requests
	// that chose it stay in its tier.
	maxPressure = 0.9
)

// target is this VM's state of one target.
type target struct {
	declared configurator.Target
	// inFlight counts the attempts of this VM in flight.
	inFlight int

	latency float64 // moving average in seconds
	sheds   float64 // decays with shedHalfLife
	shedAt  time.Duration
	// consecutiveSheds counts the shed answers since the last good one.
	consecutiveSheds int

	reported float64 // fraction of its slots that the target reports as busy

	reportedAt  time.Duration
	closedUntil time.Duration
	leaveUntil  time.Duration
	ejectUntil  time.Duration
	avoidUntil  time.Duration
	score       float64
	avoidances  int

	// rampStart is when the ramp began, or 0 without one.
	rampStart time.Duration
}

// excluded reports whether the target gets no requests for reasons other than its load.
func (target *target) excluded(now time.Duration) bool {
	return target.declared.Leaving || now < target.leaveUntil || now < target.ejectUntil || now < target.avoidUntil
}

// open reports whether the target may get a request now: it is neither excluded nor
// in a pause after a shed answer.
func (target *target) open(now time.Duration) bool {
	return now >= target.closedUntil && !target.excluded(now)
}

// trafficShare returns the fraction of its normal traffic that the target should get.
func (target *target) trafficShare(now time.Duration) float64 {
	start := max(target.rampStart, target.leaveUntil, target.ejectUntil, target.avoidUntil)
	if start == 0 {
		return 1
	}
	elapsed := float64(now-start) / float64(rampLength)
	return min(1, initialShare+(1-initialShare)*max(0, elapsed))
}

// recentSheds returns the weight of recent shed answers, from 0 to 1. It decays with
// shedHalfLife.
func (target *target) recentSheds(now time.Duration) float64 {
	return target.sheds * math.Exp2(-float64(now-target.shedAt)/float64(shedHalfLife))
}

// pressure estimates how full the target is, from 0 to maxPressure. A single signal
// contributes at most 0.5. The typical latency is in seconds, 0 if unknown.
func (target *target) pressure(now time.Duration, typical float64) float64 {
	signals := target.recentSheds(now)
	signals += min(1, float64(target.inFlight)/float64(max(1, target.declared.Slots)))
	if now-target.reportedAt < loadFreshness {
		signals += target.reported
	}
	if typical > 0 && target.latency > typical {
		signals += min(1, (target.latency/typical-1)/3)
	}
	return min(maxPressure, signals/2)
}

// cost ranks the targets of one tier; lower is better.
func (target *target) cost(now time.Duration, typical float64) float64 {
	slowness := 1.0
	if typical > 0 && target.latency > 0 {
		slowness = min(4, max(0.5, target.latency/typical))
	}
	return float64(1+target.inFlight) * slowness * (1 + target.pressure(now, typical))
}

func (target *target) recordLatency(latency time.Duration) {
	seconds := latency.Seconds()
	if target.latency == 0 {
		target.latency = seconds
	}
	target.latency += latencyWeight * (seconds - target.latency)
}

// recordShed closes the target for the pause that a shed answer asks for, at most
// maxShedBackoff. A target can't ask for less than a second, but its slots free up
// much faster than that. So a target that asks for no more is closed for the typical
// latency of its service, doubled with each consecutive shed answer, up to the pause
// asked for.
func (target *target) recordShed(retryAfter time.Duration, typical float64, now time.Duration) {
	target.sheds = min(1, target.recentSheds(now)+0.5)
	target.shedAt = now
	pause := min(retryAfter, maxShedBackoff)
	if retryAfter <= MinRetryAfter && typical > 0 {
		backoff := time.Duration(typical * float64(time.Second))
		pause = min(retryAfter, backoff<<min(target.consecutiveSheds, maxDoublings))
	}
	target.consecutiveSheds++
	target.closedUntil = max(target.closedUntil, now+pause)
}

// recordBad counts a bad answer and reports whether this VM should avoid the target.
func (target *target) recordBad() bool {
	target.score++
	return target.score >= avoidScore
}

func (target *target) recordGood() {
	target.score = max(0, target.score-goodCredit)
	target.consecutiveSheds = 0
}

// avoid excludes the target, for twice as long each time it fails again soon after it
// came back, from minAvoidance up to maxAvoidance.
func (target *target) avoid(now time.Duration) {
	// A target without an exclusion for longer than maxAvoidance starts short again.
	if now-target.avoidUntil > maxAvoidance {
		target.avoidances = 0
	}
	length := min(maxAvoidance, minAvoidance<<min(target.avoidances, 5))
	target.avoidances++
	target.score = 0
	target.avoidUntil = now + length
}
