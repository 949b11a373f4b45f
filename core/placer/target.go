package placer

import "time"

// Target is one address of an upstream at which requests of a service can run.
type Target struct {
	ID string
	// Incarnation distinguishes the starts of a target.
	Incarnation int64
	Service     string
	// Address is an IP address and a port.
	Address    string
	DataCentre string
	// Slots is the number of requests that the target processes concurrently.
	Slots int
	// Leaving targets receive no new requests.
	Leaving bool
	// Warmup is how long the target stays slow, counted from the first Replace that
	// contains it. For a service with a warm-up rate it is counted from WarmupAt.
	Warmup time.Duration
	// WarmupAt is when the row that states Warmup was read, or 0 for the first Replace that contains it.
	WarmupAt time.Duration
}

const (
	// minConnectBackoff and maxBackoff bound the backoff after failed connections.
	// The minimum exceeds the time after which a lost SYN is retransmitted on a link
	// between data centres.
	minConnectBackoff = time.Second
	maxBackoff        = 8 * time.Second
	// fullBackoff is the backoff after an answer that the target is full, about the
	// time in which one of its slots becomes free.
	fullBackoff = 150 * time.Millisecond
	// maxPeerAttempt is how long an attempt of another VM counts as in flight if its
	// end isn't reported.
	maxPeerAttempt = 8 * time.Second
)

// target is the state of a Target on this VM.
type target struct {
	Target
	// hash is that of the ID.
	hash      uint32
	suspicion suspicion
	// ownInFlight counts the attempts of this VM in flight.
	ownInFlight int
	// peerStarts are the start times of the attempts of other VMs in flight, oldest
	// first.
	peerStarts []time.Duration
	// failures counts the known failures, and answers that did not come, since the last good
	// answer.
	failures int
	// failedAt is the time of the last known failure.
	failedAt time.Duration
	// lastAttemptAt is when the last known attempt started.
	lastAttemptAt time.Duration
	// answeredAt is when the last answer to this VM came. It is only set if answered is true.
	answeredAt time.Duration
	answered   bool
	// backoffUntil is when a target that was unreachable, full or replaced may be
	// picked again.
	backoffUntil time.Duration
	// rejectedAt is when the target last rejected a request of this VM or one of its group for lack of capacity.
	// It is only set if rejected is true.
	rejectedAt time.Duration
	rejected   bool
	// connectFailures counts consecutive failed connections.
	connectFailures int
	warmUntil       time.Duration
	// coolDownUntil is when the cool-down ends that the target requested of this VM,
	// or 0 if it never requested one.
	coolDownUntil time.Duration
	// announcedLeaving is true once the target has announced in an answer that it
	// leaves.
	announcedLeaving bool
	// evacuated is true while the target's data centre is evacuated.
	evacuated bool
	// limit is nil if the target names none.
	limit   *limit
	warmup  warmup
	probing probing
	// spare is true if the floor allows some target of this one's data centre to be idle.
	spare bool
}

// available reports whether the target may receive requests.
func (target *target) available(now time.Duration) bool {
	return !target.excluded() && !target.coolingDown(now) && target.backoffUntil <= now
}

// isLeaving reports whether the target receives no new requests.
func (target *target) isLeaving() bool { return target.Leaving || target.announcedLeaving }

// inFlight returns the number of attempts in flight that this VM knows of.
func (target *target) inFlight(now time.Duration) int {
	for len(target.peerStarts) > 0 && now-target.peerStarts[0] > maxPeerAttempt {
		target.peerStarts = target.peerStarts[1:]
	}
	return target.ownInFlight + len(target.peerStarts)
}

func (target *target) peerStarted(now time.Duration) {
	target.peerStarts = append(target.peerStarts, now)
	target.lastAttemptAt = now
	target.limit.take(now)
	target.warmup.take(now)
}

// peerDone removes the oldest start, since ends don't say which attempt they belong
// to.
func (target *target) peerDone() {
	if len(target.peerStarts) > 0 {
		target.peerStarts = target.peerStarts[1:]
	}
}

// record updates the state with the outcome of an attempt. Only this VM's own
// attempts show whether this VM can reach the target.
func (target *target) record(outcome Outcome, own bool, now time.Duration) {
	target.suspicion.observe(outcome, now)
	target.warmup.observe(outcome, own, now)
	switch outcome {
	case Good:
		target.failures = 0
	case Failed, FailedLate, Slow:
		target.failures++
		target.failedAt = max(target.failedAt, now)
	}
	if outcome == Full {
		target.rejectedAt, target.rejected = now, true
	}
	if outcome == Replaced {
		target.backoffUntil = max(target.backoffUntil, now+maxBackoff) // its entry will be removed as well
	}
	if !own {
		return
	}
	switch outcome {
	case Unreachable:
		target.backoffUntil = max(target.backoffUntil, now+min(maxBackoff, minConnectBackoff<<min(target.connectFailures, 3)))
		target.connectFailures++
	case Full:
		target.backoffUntil = max(target.backoffUntil, now+fullBackoff)
	case Good, Failed, FailedLate, Slow:
		target.connectFailures = 0
	}
}
