// Package auditor checks the recorded history of a soak against the guarantees of
// the fleet. The history holds every request as its caller and as the targets saw
// it, the versions of the configuration, and the time spans of injected faults. A
// guarantee that holds only without faults is checked only for subjects that were
// undisturbed at the time.
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

// Outcome is how a request ended for its caller.
type Outcome string

// Outcomes of requests.
const (
	// Complete means that the caller read a complete answer.
	Complete Outcome = "whole"
	// Incomplete means that the connection ended before a complete answer, or that
	// the bytes read are not a valid answer.
	Incomplete Outcome = "cut"
	// CallerLeft means that the caller closed the connection before a complete answer.
	CallerLeft Outcome = "left"
)

// Call is one request as its caller saw it.
type Call struct {
	faker.Request
	Idempotent bool
	// VM is the name of the VM that was called. Start is the number of the process
	// that ran under this name at the time, counted from 1.
	VM          string
	Start       int
	Sent, Ended time.Time
	Outcome     Outcome
	// Behind is the ID of the earlier request at which the connection ended, if the request
	// was sent before the answer to that one.
	Behind string
	Answer faker.Answer
}

// Version is one version of the configuration. Sent is when the write to the store
// began, Acknowledged when the store confirmed it.
type Version struct {
	indexer.Configuration
	Sent, Acknowledged time.Time
}

// Departure is a planned removal of a target. Acknowledged is when the store
// confirmed the entry that marks the target as leaving.
type Departure struct {
	TargetID     string
	Acknowledged time.Time
}

// Stop is a planned stop of a process: when SIGTERM was sent to it and when it had ended.
type Stop struct {
	VM          string
	Start       int
	From, Until time.Time
}

// Evacuation is an evacuation of a data centre: when the store confirmed its row, and when the deletion of the row began.
type Evacuation struct {
	DataCentre          string
	Acknowledged, Ended time.Time
}

// ColdSpan is a time in which a target is cold.
type ColdSpan struct {
	TargetID    string
	From, Until time.Time
}

// Forward is a request that a VM has sent to a target for another VM, which had passed it on, by the
// log of the first. Start is the number of its process.
type Forward struct {
	ID       string
	TargetID string
	VM       string
	Start    int
}

// Restore is the return of the store from an older copy: when it went away, when the copy
// had been taken, and when the store confirmed that the operator had written the newest
// version again, zero if that didn't happen.
type Restore struct {
	From, Copied, Rewritten time.Time
}

// Store is the subject of disturbances that affect the store for all VMs.
const Store = "store"

// LinkTo returns the subject of disturbances on the link to a target.
func LinkTo(targetID string) string { return "link to " + targetID }

// Disturbance is the time span of an injected fault. Subject is the name of a VM,
// the ID of a target, LinkTo of a target, or Store.
type Disturbance struct {
	Subject     string
	From, Until time.Time
}

// Bounds are the limits that the checks apply.
type Bounds struct {
	// SettleTime is how long after a disturbance its subject is still exempt from checks
	// that apply only to undisturbed subjects.
	SettleTime time.Duration
	// Propagation, Leaving and Withdrawal are the longest times until a new
	// version, a leaving target and a withdrawn key take effect on every VM.
	Propagation, Leaving, Withdrawal time.Duration
	// Evacuation is the longest time until a data centre gets no more requests, and Stretch what is added for a VM that
	// was disturbed since, or if the store was.
	Evacuation, Stretch time.Duration
	// ColdRequests is the highest number of requests that may arrive in a second at a target that is cold.
	ColdRequests int
	// Grace is the time within which a process ends after SIGTERM.
	Grace time.Duration
	// An organisation may run (rate * RateWindow + burst) * (1 + RateOvershoot) +
	// RateTolerance requests in any RateWindow.
	RateWindow                   time.Duration
	RateOvershoot, RateTolerance float64
	// A service may get RetryRatio retries for each request, plus RetryMargin, in
	// any RetryWindow.
	RetryWindow             time.Duration
	RetryRatio, RetryMargin float64
}

// Record is the recorded history of a soak. Calls and arrivals are in any order.
type Record struct {
	Bounds       Bounds
	Calls        []Call
	Arrivals     []faker.Arrival
	Versions     []Version // in the order in which they were written
	Restores     []Restore // in the order in which they began
	Departures   []Departure
	Stops        []Stop
	Disturbances []Disturbance
	Evacuations  []Evacuation
	ColdSpans    []ColdSpan
	// DataCentres and Regions map the ID of each target and the name of each VM to where it is.
	DataCentres, Regions map[string]string
	Forwards             []Forward
	// PassedOn maps the IDs of the requests that some VM has meant to pass on to the VMs that may have received them.
	PassedOn map[string][]string
}

// Violation is one observation that contradicts a guarantee.
type Violation struct {
	// Promise is the name of the guarantee in the output of soak.
	Promise string
	// ID is the ID of the request, or empty if the violation concerns many requests.
	ID     string
	Detail string
}

// String formats the violation as one line.
func (violation Violation) String() string {
	return fmt.Sprintf("promise=%s request=%q %s", violation.Promise, violation.ID, violation.Detail)
}

// Report is the result of an audit.
type Report struct {
	Violations []Violation
	// Checked is the number of observations that were checked, by the name of the
	// guarantee.
	Checked map[string]int
}

// audit is a record whose arrivals are indexed by request ID and by target, and the report so far.
type audit struct {
	Record
	calls    map[string]*Call
	arrivals map[string][]*faker.Arrival
	byTarget map[string][]*faker.Arrival
	// deliveries are the arrivals of which the sender is known.
	deliveries []delivery
	// forwards are those of the record, by the ID of the request and of the target.
	forwards map[[2]string]Forward
	report   Report
}

// oracle checks one guarantee. promise is its name in the output of soak.
type oracle struct {
	promise string
	check   func(*audit, string)
}

// oracles lists all checks.
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
	{"evacuation", (*audit).evacuations},
	{"homes", (*audit).homeRegions},
	{"warmup", (*audit).warmups},
	{"quiet", (*audit).coolDowns},
	{"limits", (*audit).namedLimits},
	{"crashing-requests", (*audit).crashingRequests},
	{"rates", (*audit).rates},
	{"retry-budget", (*audit).retryBudget},
}

// Audit runs all checks on the record.
func (record Record) Audit() Report {
	audit := &audit{
		Record: record, calls: make(map[string]*Call), arrivals: make(map[string][]*faker.Arrival),
		byTarget: make(map[string][]*faker.Arrival),
		report:   Report{Checked: make(map[string]int)},
	}
	for i := range audit.Calls {
		audit.calls[audit.Calls[i].ID] = &audit.Calls[i]
	}
	audit.forwards = make(map[[2]string]Forward)
	for _, forward := range audit.Forwards {
		audit.forwards[[2]string{forward.ID, forward.TargetID}] = forward
	}
	for i := range audit.Arrivals {
		arrival := &audit.Arrivals[i]
		audit.arrivals[arrival.ID] = append(audit.arrivals[arrival.ID], arrival)
		audit.byTarget[arrival.TargetID] = append(audit.byTarget[arrival.TargetID], arrival)
	}
	for _, arrivals := range audit.arrivals {
		slices.SortStableFunc(arrivals, func(a, b *faker.Arrival) int { return a.Begun.Compare(b.Begun) })
	}
	for i := range audit.Arrivals {
		if from, call := audit.senderOf(&audit.Arrivals[i]); call != nil {
			audit.deliveries = append(audit.deliveries, delivery{&audit.Arrivals[i], from, call})
		}
	}
	for _, oracle := range oracles {
		oracle.check(audit, oracle.promise)
	}
	return audit.report
}

func (audit *audit) addViolation(promise, id, format string, values ...any) {
	audit.report.Violations = append(audit.report.Violations, Violation{promise, id, fmt.Sprintf(format, values...)})
}

// undisturbed reports whether no disturbance of the subjects overlaps the span that
// begins Bounds.SettleTime before from and ends at until.
func (audit *audit) undisturbed(from, until time.Time, subjects ...string) bool {
	return !audit.disturbed(from.Add(-audit.Bounds.SettleTime), until, subjects...)
}

// disturbed reports whether a disturbance of one of the subjects overlaps the span.
func (audit *audit) disturbed(from, until time.Time, subjects ...string) bool {
	return slices.ContainsFunc(audit.Disturbances, func(disturbance Disturbance) bool {
		return slices.Contains(subjects, disturbance.Subject) && disturbance.From.Before(until) && disturbance.Until.After(from)
	})
}

// route returns the route with the longest prefix that matches the request.
func (version *Version) route(request faker.Request) (indexer.Route, bool) {
	var found indexer.Route
	for _, route := range version.Routes {
		if route.Host == request.Host && strings.HasPrefix(request.Path, route.Prefix) && len(route.Prefix) > len(found.Prefix) {
			found = route
		}
	}
	return found, found.Prefix != ""
}

// organisation returns the organisation that has the key.
func (version *Version) organisation(key string) (indexer.Organisation, bool) {
	for _, organisation := range version.Organisations {
		if slices.Contains(organisation.Keys, key) {
			return organisation, true
		}
	}
	return indexer.Organisation{}, false
}

// allows reports whether a VM with this version could have handled the request as
// observed. Refusals that don't depend on the configuration are always allowed.
func (version *Version) allows(call *Call, arrivals []*faker.Arrival) bool {
	route, routed := version.route(call.Request)
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

// limits returns the highest number of attempts and the longest timeout that any
// possible version allows for the request, or 0 if none has a route for it.
func (audit *audit) limits(call *Call) (attempts int, timeout time.Duration) {
	for _, version := range audit.writtenVersions(call) {
		if route, routed := version.route(call.Request); routed {
			attempts, timeout = max(attempts, route.Attempts), max(timeout, route.Timeout)
		}
	}
	return attempts, timeout
}

// writtenVersions returns the versions whose write began before the request ended.
func (audit *audit) writtenVersions(call *Call) []Version {
	last := len(audit.Versions)
	for last > 1 && audit.Versions[last-1].Sent.After(call.Ended) {
		last--
	}
	return audit.Versions[:last]
}

// possibleVersions returns the versions that a VM may have used for the request, out of
// those that writtenVersions returns. A version is too old if its successor was acknowledged
// more than maxAge before the request was sent.
func (audit *audit) possibleVersions(call *Call, maxAge time.Duration, acknowledged func(Version, time.Time) time.Time) []Version {
	versions := audit.writtenVersions(call)
	for len(versions) > 1 {
		at := acknowledged(versions[1], call.Sent)
		if at.IsZero() || at.Add(maxAge).After(call.Sent) {
			break
		}
		versions = versions[1:]
	}
	return versions
}

// first returns when a version was acknowledged first.
func first(version Version, _ time.Time) time.Time { return version.Acknowledged }

// standing returns the acknowledgement of a version that stands at a time: the first one, or
// that of the newest version after the last restore that undid the one before. It returns
// zero if none stands.
func (audit *audit) standing(version Version, now time.Time) time.Time {
	acknowledged := version.Acknowledged
	for _, restore := range audit.Restores {
		if acknowledged.After(restore.Copied) && acknowledged.Before(restore.From) && restore.From.Before(now) {
			acknowledged = restore.Rewritten
		}
	}
	return acknowledged
}
