// Package drainer decides which requests a VM takes while it stops as planned.
//
// The balancer goes on to send connections for a while, and callers go on to use those
// that they keep open. What is still in progress near the end of the stop is given up: its
// caller learns only that it may have run. A refused request is sent to another VM at once.
//
// # Usage
//
//	policy := drainer.Policy{
//		BalancerDrain: 3 * time.Second, Grace: 6 * time.Second,
//		ExitReserve: 250 * time.Millisecond, AnswerReserve: 150 * time.Millisecond,
//	}
//	if !policy.Admits(now-stopStarted, usualLatency) {
//		// Refuse the request.
//	}
package drainer

import "time"

// Policy divides the time of a planned stop.
type Policy struct {
	// BalancerDrain is how long the balancer may still send new connections after
	// readiness has ended.
	BalancerDrain time.Duration
	// Grace is the time after which the process is killed.
	Grace time.Duration
	// ExitReserve is subtracted from Grace, so that the process exits by itself within it.
	ExitReserve time.Duration
	// AnswerReserve is the part of the time before that in which the requests that are not
	// finished are answered.
	AnswerReserve time.Duration
}

// Limit is the time from the start of a stop to its end at the latest.
func (policy Policy) Limit() time.Duration { return policy.Grace - policy.ExitReserve }

// GiveUpTime is the time from the start of a stop at which unfinished requests are given up.
// Answers that are ready but wait for them on their connections can then be written.
func (policy Policy) GiveUpTime() time.Duration { return max(0, policy.Limit()-policy.AnswerReserve) }

// DrainTime is the time from the start of a stop during which the VM takes requests and
// keeps idle connections open.
func (policy Policy) DrainTime() time.Duration { return min(policy.BalancerDrain, policy.GiveUpTime()) }

// Admits reports whether the VM takes a request that arrives at a time since the start of the
// stop. usual is the time within which such a request is answered nearly always, 0 if that
// isn't known.
func (policy Policy) Admits(elapsed, usual time.Duration) bool {
	return elapsed < policy.DrainTime() && policy.Fits(elapsed, usual)
}

// Fits reports whether a request that the VM has taken and that is sent to a target now will
// nearly always be answered before it is given up.
func (policy Policy) Fits(elapsed, usual time.Duration) bool {
	return elapsed < policy.GiveUpTime() && elapsed+usual <= policy.GiveUpTime()
}
