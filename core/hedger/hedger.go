// Package hedger decides whether and when a request gets a hedge: a second attempt while the first is in
// flight. It answers requests whose target is far slower than usual, and keeps the extra load within a
// share of the service's requests, also when all targets become slow at once.
//
// # Usage
//
//	latencies := hedger.NewLatencies()
//	latencies.Observe(route, latency, now)
//	delay, ok := latencies.Delay(route, hedger.Quantile(share), maxDelay, now)
//	budget := &hedger.Budget{Share: share, Window: window}
//	budget.Request(now) // a first attempt of a VM of the group
//	denial := hedger.Decide(hedger.Inputs{...})
//	if denial == hedger.None {
//		budget.Hedge(now)
//	}
package hedger

import "time"

// Limits are the settings of an operator.
type Limits struct {
	// Share is the number of hedges for each request of a service, from 0 to 1. It applies to all services that
	// are not in Services if Limited is true. Otherwise hedges of those have no limit of their own.
	Share   float64
	Limited bool
	// Services are the shares of services, by name.
	Services map[string]float64
}

// Of returns the share of a service, and whether its hedges are limited.
func (limits Limits) Of(service string) (share float64, limited bool) {
	if share, ok := limits.Services[service]; ok {
		return share, true
	}
	return limits.Share, limits.Limited
}

// Denial is the reason why a hedge is not sent.
type Denial string

const (
	// None: the hedge may be sent.
	None Denial = ""
	// Limit: the share of the service's requests is used up, or this VM has been in its group for
	// less than a window.
	Limit Denial = "limit"
	// RetryBudget: the rest of the retry budget is left to retries after failures.
	RetryBudget Denial = "retry-budget"
	// NoRoom: the service is short of capacity.
	NoRoom Denial = "no-room"
	// NoTarget: no target that was not tried has a free slot, or the request may not reach more targets.
	NoTarget Denial = "no-target"
)

// Denials are all reasons.
var Denials = []Denial{Limit, RetryBudget, NoRoom, NoTarget}

const (
	// maxUsed is the share of the slots in use from which a service is short of capacity. A hedge takes
	// a slot that a first attempt will need soon.
	maxUsed = 0.8
	// RejectedTime is how long a service counts as short of capacity after a target has rejected a
	// request: several times the time in which a slot becomes free.
	RejectedTime = time.Second
)

// Room is what a VM knows of the capacity of a service.
type Room struct {
	// InFlight are the attempts of the VM's group in flight, and Slots those of all targets that take requests.
	InFlight, Slots int
	// Usual is the mean of InFlight over the last requests. Attempts of other groups are estimated from it: with
	// one of twelve groups, two attempts in flight by chance would stand for 24.
	Usual float64
	// GroupShare is the share of the fleet's requests that the VM's group serves, from 0 to 1.
	GroupShare float64
	// Rejected is true if a target has rejected a request within RejectedTime.
	Rejected bool
}

// Short reports whether the service is short of capacity.
func (room Room) Short() bool {
	inFlight := float64(room.InFlight)
	if room.GroupShare > 0 {
		inFlight = max(inFlight, room.Usual/room.GroupShare)
	}
	return room.Rejected || inFlight >= maxUsed*float64(room.Slots)
}

// loadWeight is the weight of a new number in the mean of a Load. A group with ten requests a second to a service
// follows a change within two seconds.
const loadWeight = 1.0 / 16

// Load is the mean of the attempts in flight that requests of a group find when they arrive.
type Load struct{ mean float64 }

// Observe adds the number that a request has found.
func (load *Load) Observe(inFlight int) { load.mean += loadWeight * (float64(inFlight) - load.mean) }

// Mean returns the mean, 0 without requests.
func (load *Load) Mean() float64 { return load.mean }

// Inputs are what a decision depends on.
type Inputs struct {
	// Room is that of the whole service, and Permitted that of the targets that the request may reach, if its home
	// regions exclude some.
	Room, Permitted Room
	// WithinLimit is the result of Budget.Allows.
	WithinLimit bool
	// AffordsRetry is true if the retry budget has more tokens than are left to retries.
	AffordsRetry bool
	// Target is true if there is a target for the hedge.
	Target bool
}

// Decide returns None if the hedge may be sent.
func Decide(inputs Inputs) Denial {
	switch {
	case inputs.Room.Short(), inputs.Permitted.Slots > 0 && inputs.Permitted.Short():
		return NoRoom
	case !inputs.WithinLimit:
		return Limit
	case !inputs.AffordsRetry:
		return RetryBudget
	case !inputs.Target:
		return NoTarget
	}
	return None
}
