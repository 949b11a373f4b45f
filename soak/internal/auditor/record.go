// Package auditor holds what callers and targets saw of a fleet against what the
// fleet promises.
//
// # Usage
//
//	report := record.Audit()
//	for _, violation := range report.Violations { ... }
package auditor

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"godwitramp.example/core/indexer"
	"godwitramp.example/platform/faker"
)

// End says how a request ended for its caller.
type Outcome string

// How requests end.
const (
	// Whole means that a whole answer came.
	Complete Outcome = "whole"
	// Cut means that the connection ended, or sent something else than an answer.
	Incomplete Outcome = "cut"
	// Left means that the caller closed the connection.
	CallerLeft Outcome = "left"
)

// Call is a request as its caller saw it.
type Call struct {
	faker.Ask
	Idempotent bool
	// VM is the name of the VM that was called, Start counts its starts.
	VM          string
	Start       int
	Sent, Ended time.Time
	Outcome     Outcome
	// Behind is true if the request was sent behind one whose answer closed the
	// connection.
	AfterClose bool
	Answer     faker.Answer
}

// Version is a configuration and when operators wrote it.
type Version struct {
	indexer.Configuration
	Sent, Acknowledged time.Time
}

// Departure is when the store acknowledged that a target leaves.
type Departure struct {
	TargetID     string
	Acknowledged time.Time
}

// Store is the subject of disturbances of the store.
const Store = "store"

// WayTo is the subject of disturbances on the way to a target.
func LinkTo(targetID string) string { return "way to " + targetID }

// Disturbance is a fault of a VM, of a target by its ID, of the way to one, or of the
// store.
type Disturbance struct {
	Subject     string
	From, Until time.Time
}

// Bounds are the figures that the promises are held against.
type Bounds struct {
	// Steady is how long after a disturbance its subject is bound again.
	SettleTime time.Duration
	// Propagation, Leaving and Withdrawal are the bounds of changes.
	Propagation, Leaving, Withdrawal time.Duration
	// Window, Overshoot and Tolerance bound the rates of organisations.
	RateWindow                   time.Duration
	RateOvershoot, RateTolerance float64
	// RetryWindow, RetryRatio and RetryExtra bound the further attempts.
	RetryWindow             time.Duration
	RetryRatio, RetryMargin float64
}

// Record is all that was seen. Calls and arrivals are in any order.
type Record struct {
	Bounds       Bounds
	Calls        []Call
	Arrivals     []faker.Arrival
	Versions     []Version // in the order in which they were written
	Departures   []Departure
	Disturbances []Disturbance
}

// Violation is a broken promise.
type Violation struct {
	Promise string
	// ID is that of the request, empty where there is none.
	ID     string
	Detail string
}

// String returns the violation in one line.
func (violation Violation) String() string {
	return fmt.Sprintf("promise=%s request=%q %s", violation.Promise, violation.ID, violation.Detail)
}

// Report is the result of an audit.
type Report struct {
	Violations []Violation
	// Checked counts what each promise was held against.
	Checked map[string]int
}

// audit is a record with its indices.
type audit struct {
	Record
	calls    map[string]*Call
	arrivals map[string][]*faker.Arrival
	report   Report
}

// oracle holds the record against one promise.
type oracle struct {
	promise string
	check   func(*audit, string)
}

// oracles are all promises that are checked.
var oracles = []oracle{
	{"at-most-once", (*audit).atMostOnce},
	{"true-refusals", (*audit).refusedNotRun},
	{"whole-answers", (*audit).answersFromTargets},
	{"asked-for", (*audit).requestsUnaltered},
	{"uncut", (*audit).noLostConnections},
	{"attempts", (*audit).attempts},
	{"deadlines", (*audit).deadlines},
	{"timeouts", (*audit).timeouts},
	{"callers-gone", (*audit).abandonedRequests},
	{"withdrawn-keys", (*audit).withdrawnKeys},
	{"configuration", (*audit).configuration},
	{"no-fall-back", (*audit).noOlderVersion},
	{"leaving-targets", (*audit).leavingTargets},
	{"leaving-told", (*audit).announcedLeaving},
	{"quiet", (*audit).coolDowns},
	{"rates", (*audit).rates},
	{"retry-budget", (*audit).retryBudget},
}

// Audit holds the record against every promise.
func (record Record) Audit() Report {
	audit := &audit{
		Record: record, calls: make(map[string]*Call), arrivals: make(map[string][]*faker.Arrival),
		report: Report{Checked: make(map[string]int)},
	}
	for i := range audit.Calls {
		audit.calls[audit.Calls[i].ID] = &audit.Calls[i]
	}
	for i := range audit.Arrivals {
		arrival := &audit.Arrivals[i]
		audit.arrivals[arrival.ID] = append(audit.arrivals[arrival.ID], arrival)
	}
	for _, oracle := range oracles {
		oracle.check(audit, oracle.promise)
	}
	return audit.report
}

func (audit *audit) addViolation(promise, id, format string, values ...any) {
	audit.report.Violations = append(audit.report.Violations, Violation{promise, id, fmt.Sprintf(format, values...)})
}

// calm reports whether none of the subjects was disturbed from Bounds.Steady
// before a time until another.
func (audit *audit) undisturbed(from, until time.Time, subjects ...string) bool {
	return !audit.disturbed(from.Add(-audit.Bounds.SettleTime), until, subjects...)
}

// disturbed reports whether one of the subjects was disturbed from a time until another.
func (audit *audit) disturbed(from, until time.Time, subjects ...string) bool {
	return slices.ContainsFunc(audit.Disturbances, func(disturbance Disturbance) bool {
		return slices.Contains(subjects, disturbance.Subject) && disturbance.From.Before(until) && disturbance.Until.After(from)
	})
}

// inTouch reports whether neither the VM nor the store was disturbed.
func (audit *audit) vmAndStoreUndisturbed(call *Call, from, until time.Time) bool {
	return audit.undisturbed(from, until, call.VM, Store)
}

// route returns the route of a request in a version, if there is one.
func (version *Version) route(ask faker.Ask) (indexer.Route, bool) {
	var found indexer.Route
	for _, route := range version.Routes {
		if route.Host == ask.Host && strings.HasPrefix(ask.Path, route.Prefix) && len(route.Prefix) > len(found.Prefix) {
			found = route
		}
	}
	return found, found.Prefix != ""
}

// organisation returns the name of the organisation that a key belongs to.
func (version *Version) organisation(key string) (string, bool) {
	for _, organisation := range version.Organisations {
		if slices.Contains(organisation.Keys, key) {
			return organisation.Name, true
		}
	}
	return "", false
}

// handles reports whether the version allows what became of the request.
// Refusals that have nothing to do with the configuration are always allowed.
func (version *Version) allows(call *Call, arrivals []*faker.Arrival) bool {
	route, routed := version.route(call.Ask)
	_, known := version.organisation(call.Key)
	for _, arrival := range arrivals {
		isService := func(share indexer.Share) bool { return share.Service == arrival.Service }
		if arrival.Run && !(routed && known && slices.ContainsFunc(route.Shares, isService)) {
			return false
		}
	}
	if call.Outcome != Complete || call.Answer.Signed {
		return true
	}
	switch call.Answer.Status {
	case 404:
		return !routed
	case 401:
		return !known
	default:
		return true
	}
}

// limits returns the most attempts and the longest timeout that any version allows
// the request, 0 if none has a route for it.
func (audit *audit) limits(call *Call) (attempts int, timeout time.Duration) {
	for _, version := range audit.possibleVersions(call, 0) {
		if route, routed := version.route(call.Ask); routed {
			attempts, timeout = max(attempts, route.Attempts), max(timeout, route.Timeout)
		}
	}
	return attempts, timeout
}

// versions returns the range of versions that may be in force for the request:
// from the oldest whose successor isn't in force everywhere to the newest that
// was written before the end. Without a bound all older ones may be.
func (audit *audit) possibleVersions(call *Call, maxAge time.Duration) []Version {
	last := len(audit.Versions)
	for last > 1 && audit.Versions[last-1].Sent.After(call.Ended) {
		last--
	}
	first := 0
	for maxAge > 0 && first+1 < last {
		acknowledged := audit.Versions[first+1].Acknowledged
		if acknowledged.IsZero() || acknowledged.Add(maxAge).After(call.Sent) {
			break
		}
		first++
	}
	return audit.Versions[first:last]
}
