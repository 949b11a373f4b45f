package placer

import "time"

// Target is one place where requests of a service can run.
type Target struct {
	// ID names the target.
	ID string
	// Incarnation tells the starts of a target apart.
	Incarnation int64
	Service     string
	// Address is an IP address and a port.
	Address    string
	DataCentre string
	// Slots is the number of requests that the target works on at once.
	Slots int
	// Leaving targets get nothing new.
	Leaving bool
	// Warmup is how long the target stays slow from when it was read.
	Warmup time.Duration
}

const (
	// minConnectBackoff and longestPause are how long a target that can't be reached
	// is left out. The first is above the time of a lost opening packet's
	// second try on a link between data centres.
	minConnectBackoff = time.Second
	maxBackoff        = 8 * time.Second
	// fullPause is how long a target that said it is full is left out, about
	// the time in which one of its slots gets free.
	fullBackoff = 150 * time.Millisecond
	// longestRun is how long an attempt of another VM counts as running if its
	// end isn't heard of.
	maxPeerAttempt = 8 * time.Second
)

// target is what is known of a Target.
type target struct {
	Target
	suspicion suspicion
	// running counts this VM's attempts in progress.
	ownInFlight int
	// others are the starts of attempts of other VMs.
	peerStarts []time.Duration
	// usedAt is when an attempt was last begun, as far as is known.
	lastAttemptAt time.Duration
	// pausedUntil is when a target that can't be reached or is full is tried
	// again.
	backoffUntil time.Duration
	// failures counts connections that could not be made in a row.
	connectFailures int
	warmUntil       time.Duration
	// quietUntil is when the time ends for which the target asked this VM to send it
	// nothing, 0 if it never did.
	coolDownUntil time.Duration
	// left is true once the target has said that it leaves.
	announcedLeaving bool
}

// leaves reports whether the target gets nothing new.
func (target *target) isLeaving() bool { return target.Leaving || target.announcedLeaving }

// load returns the attempts in progress that this VM knows of.
func (target *target) inFlight(now time.Duration) int {
	for len(target.peerStarts) > 0 && now-target.peerStarts[0] > maxPeerAttempt {
		target.peerStarts = target.peerStarts[1:]
	}
	return target.ownInFlight + len(target.peerStarts)
}

func (target *target) peerStarted(now time.Duration) {
	target.peerStarts = append(target.peerStarts, now)
	target.lastAttemptAt = now
}

func (target *target) peerDone() {
	if len(target.peerStarts) > 0 {
		target.peerStarts = target.peerStarts[1:]
	}
}

// learn takes the outcome of an attempt in. Only this VM's own attempts say
// whether this VM reaches the target.
func (target *target) record(outcome Outcome, own bool, now time.Duration) {
	target.suspicion.observe(outcome, now)
	if outcome == Replaced {
		target.backoffUntil = now + maxBackoff // its entry will go too
	}
	if !own {
		return
	}
	switch outcome {
	case Unreachable:
		target.backoffUntil = now + min(maxBackoff, minConnectBackoff<<min(target.connectFailures, 3))
		target.connectFailures++
	case Full:
		target.backoffUntil = max(target.backoffUntil, now+fullBackoff)
	case Good, Failed, FailedLate, Slow:
		target.connectFailures = 0
	}
}
