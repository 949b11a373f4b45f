package router

import (
	"time"

	"godwitramp.example/core/configurator"
)

// Ask is what a target is picked for.
type Ask struct {
	Service *configurator.ServiceTargets
	// Tried targets are left out.
	Tried []configurator.Path
	Now   time.Duration
}

// ResultKind says how an attempt ended.
type ResultKind int

// The ends of an attempt.
const (
	// Good means a whole answer that isn't a server error.
	Good ResultKind = iota
	// Failed means a server error, or no connection.
	Failed
	// Shed means that the target refused for want of capacity.
	Shed
	// Cancelled means that the caller gave up.
	Cancelled
	// ConnectionLost means that the connection ended, or stayed silent,
	// without an answer.
	ConnectionLost
	// Truncated means that the answer ended in its middle.
	Truncated
	// WrongAnswer means an answer to another request, or one that breaks HTTP.
	WrongAnswer
	// TimedOut means no answer in time on a fresh connection, or none before
	// the deadline.
	TimedOut
	// Leaving means that the target said it is about to stop.
	Leaving
)

// Result is how an attempt at a target ended.
type Result struct {
	Target  configurator.Path
	Kind    ResultKind
	Latency time.Duration
	// RetryAfter is how long the target wants to be left alone.
	RetryAfter time.Duration
	// FreshConnection is true if the connection was opened for the attempt.
	FreshConnection bool
}
