package router

import (
	"math"
	"time"

	"godwitramp.example/core/configurator"
)

// LeaveHold is how long a target that says that it leaves gets nothing, unless
// it says so again.
const LeaveHold = 30 * time.Second

// LeastRetryAfter is the shortest pause that an upstream can ask for in a
// Retry-After field.
const LeastRetryAfter = time.Second

const (
	// Share of its requests that a new or returning target gets at first.
	firstShare = 0.05
	rampLength = 10 * time.Second

	// Bound of the pause that a shed answer asks for.
	maxShedPause = 30 * time.Second
	// Bound of how often a short pause doubles.
	maxDoublings = 20

	shedHalfLife  = time.Second
	loadFreshness = 2 * time.Second
	latencyWeight = 0.2

	// A target is avoided when bad answers outweigh good ones by this score.
	avoidScore     = 3.0
	goodCredit     = 0.25
	firstAvoidance = 2 * time.Second
	maxAvoidance   = time.Minute
	maxPressure    = 0.9
)

// target is what this VM knows of one target.
type target struct {
	declared configurator.Target
	running  int

	latency float64 // seconds, a moving mean
	sheds   float64 // decays with shedHalfLife
	shedAt  time.Duration
	// row counts the shed answers since the last good one.
	row int

	reported float64 // share of slots that the target says are busy

	reportedAt  time.Duration
	closedUntil time.Duration
	leaveUntil  time.Duration
	ejectUntil  time.Duration
	avoidUntil  time.Duration
	score       float64
	avoidances  int

	// rampFrom is when the ramp began, or 0 without one.
	rampFrom time.Duration
}

// out reports whether the target gets nothing, whatever its load.
func (target *target) out(now time.Duration) bool {
	return target.declared.Leaving || now < target.leaveUntil || now < target.ejectUntil || now < target.avoidUntil
}

// open reports whether the target may get a request now.
func (target *target) open(now time.Duration) bool {
	return now >= target.closedUntil && !target.out(now)
}

// share returns the part of its normal requests that the target should get.
func (target *target) share(now time.Duration) float64 {
	began := max(target.rampFrom, target.leaveUntil, target.ejectUntil, target.avoidUntil)
	if began == 0 {
		return 1
	}
	passed := float64(now-began) / float64(rampLength)
	return min(1, firstShare+(1-firstShare)*max(0, passed))
}

// recentSheds returns a number from 0 to 1 that falls as shed answers age.
func (target *target) recentSheds(now time.Duration) float64 {
	return target.sheds * math.Exp2(-float64(now-target.shedAt)/float64(shedHalfLife))
}

// pressure estimates how full the target is, from 0 to maxPressure. Any one
// sign by itself gives at most half.
func (target *target) pressure(now time.Duration, usual float64) float64 {
	signs := target.recentSheds(now)
	signs += min(1, float64(target.running)/float64(max(1, target.declared.Slots)))
	if now-target.reportedAt < loadFreshness {
		signs += target.reported
	}
	if usual > 0 && target.latency > usual {
		signs += min(1, (target.latency/usual-1)/3)
	}
	return min(maxPressure, signs/2)
}

// cost orders targets of one tier; the lower, the better.
func (target *target) cost(now time.Duration, usual float64) float64 {
	slowness := 1.0
	if usual > 0 && target.latency > 0 {
		slowness = min(4, max(0.5, target.latency/usual))
	}
	return float64(1+target.running) * slowness * (1 + target.pressure(now, usual))
}

func (target *target) noteLatency(latency time.Duration) {
	seconds := latency.Seconds()
	if target.latency == 0 {
		target.latency = seconds
	}
	target.latency += latencyWeight * (seconds - target.latency)
}

// noteShed closes the target for as long as a shed answer asks. A target whose
// slots are all taken can't ask for less than a second, by when it has had
// free slots many times; it gets the usual latency of its service, doubled
// with each further shed answer in a row.
func (target *target) noteShed(asked time.Duration, usual float64, now time.Duration) {
	target.sheds = min(1, target.recentSheds(now)+0.5)
	target.shedAt = now
	pause := min(asked, maxShedPause)
	if asked <= LeastRetryAfter && usual > 0 {
		short := time.Duration(usual * float64(time.Second))
		pause = min(asked, short<<min(target.row, maxDoublings))
	}
	target.row++
	target.closedUntil = max(target.closedUntil, now+pause)
}

// noteBad reports whether this VM should avoid the target.
func (target *target) noteBad() bool {
	target.score++
	return target.score >= avoidScore
}

func (target *target) noteGood() {
	target.score = max(0, target.score-goodCredit)
	target.row = 0
}

// avoid leaves the target out, longer each time that it comes back broken.
func (target *target) avoid(now time.Duration) {
	// Long good service since the last time makes the next stay short again.
	if now-target.avoidUntil > maxAvoidance {
		target.avoidances = 0
	}
	length := min(maxAvoidance, firstAvoidance<<min(target.avoidances, 5))
	target.avoidances++
	target.score = 0
	target.avoidUntil = now + length
}
