package auditor

import (
	"cmp"
	"math"
	"slices"
	"time"

	"godwitramp.example/platform/faker"
)

const (
	// versionSlack is how long after an answer that shows a newer version another
	// request may still be handled by an older one, because it was in flight.
	versionSlack = 250 * time.Millisecond
	// A record may contain toleratedRefusals wrong permanent refusals, plus one for
	// every callsPerToleratedRefusal calls.
	callsPerToleratedRefusal = 500
	toleratedRefusals        = 5
)

// withdrawnKeys checks that no request runs that was sent more than Bounds.Withdrawal
// after its key was withdrawn, whatever faults there were, also where a restore of the store
// has undone the withdrawal since.
func (audit *audit) withdrawnKeys(promise string) {
	for id, call := range audit.calls {
		versions := audit.possibleVersions(call, audit.Bounds.Withdrawal, first)
		if slices.ContainsFunc(versions, func(version Version) bool {
			_, known := version.organisation(call.Key)
			return known
		}) {
			continue
		}
		audit.report.Checked[promise]++
		if countRuns(audit.arrivals[id]) > 0 {
			audit.addViolation(promise, id, "%s let a request with a withdrawn key run", call.VM)
		}
	}
}

// configuration checks that each request was handled according to a version that
// its VM may have used, and that well-formed requests are not refused permanently.
func (audit *audit) configuration(promise string) {
	refused := 0
	for id, call := range audit.calls {
		arrivals := audit.arrivals[id]
		versions := audit.writtenVersions(call)
		if audit.undisturbed(call.Sent, call.Ended, call.VM, Store) {
			versions = audit.possibleVersions(call, audit.Bounds.Propagation, audit.standing)
		}
		audit.report.Checked[promise]++
		allowed := slices.ContainsFunc(versions, func(version Version) bool { return version.allows(call, arrivals) })
		if !allowed {
			audit.addViolation(promise, id, "%s answered %d and the request ran %d times, which no possible version allows", call.VM, call.Answer.Status, countRuns(arrivals))
		}
		if call.Outcome == Complete && !call.Answer.Signed && isPermanentRefusal(call.Answer.Status) {
			refused++
		}
	}
	if refused > toleratedRefusals+len(audit.calls)/callsPerToleratedRefusal {
		audit.addViolation(promise, "", "%d well-formed requests got a permanent refusal", refused)
	}
}

// isPermanentRefusal reports whether the status says that the request itself is
// wrong. 401 and 404 are excluded because they depend on the configuration, and 408,
// 421 and 429 because they are temporary.
func isPermanentRefusal(status int) bool {
	return status/100 == 4 && !slices.Contains([]int{401, 404, 408, 421, 429}, status)
}

// noOlderVersion checks that no process of a VM goes back to an older version: once
// an answer shows a version, later requests must be consistent with it or a newer one.
func (audit *audit) noOlderVersion(promise string) {
	type process struct {
		vm    string
		start int
	}
	calls := make(map[process][]*Call)
	for _, call := range audit.calls {
		calls[process{call.VM, call.Start}] = append(calls[process{call.VM, call.Start}], call)
	}
	for _, bySent := range calls {
		byEnded := slices.Clone(bySent)
		slices.SortFunc(bySent, func(a, b *Call) int { return a.Sent.Compare(b.Sent) })
		slices.SortFunc(byEnded, func(a, b *Call) int { return a.Ended.Compare(b.Ended) })
		newestSeen := uint64(0)
		for _, call := range bySent {
			for len(byEnded) > 0 && byEnded[0].Ended.Add(versionSlack).Before(call.Sent) {
				if oldest, _, ok := audit.versionRange(byEnded[0]); ok {
					newestSeen = max(newestSeen, oldest)
				}
				byEnded = byEnded[1:]
			}
			oldest, newest, ok := audit.versionRange(call)
			if !ok {
				continue
			}
			audit.report.Checked[promise]++
			if newest < newestSeen {
				audit.addViolation(promise, call.ID, "%s handled it with a version from %d to %d, after an answer that required version %d or newer", call.VM, oldest, newest, newestSeen)
			}
		}
	}
}

// versionRange returns the oldest and the newest version that allow the observed
// handling of the request. It reports false if the handling gives no evidence of the
// version.
func (audit *audit) versionRange(call *Call) (oldest, newest uint64, ok bool) {
	arrivals := audit.arrivals[call.ID]
	localAnswer := call.Outcome == Complete && !call.Answer.Signed && (call.Answer.Status == 401 || call.Answer.Status == 404)
	if !localAnswer && countRuns(arrivals) == 0 {
		return 0, 0, false
	}
	oldest = math.MaxUint64
	for _, version := range audit.writtenVersions(call) {
		if version.allows(call, arrivals) {
			oldest, newest, ok = min(oldest, version.Version), max(newest, version.Version), true
		}
	}
	return oldest, newest, ok
}

// leavingTargets checks that no VM sends a request to a target more than
// Bounds.Leaving after the store confirmed that the target leaves. It applies while the
// VM, the store and the target are undisturbed.
func (audit *audit) leavingTargets(promise string) {
	leavingSince := make(map[string]time.Time)
	for _, departure := range audit.Departures {
		leavingSince[departure.TargetID] = departure.Acknowledged
	}
	for _, arrival := range audit.deliveries {
		from, call := arrival.from, arrival.call
		since, leaving := leavingSince[arrival.TargetID]
		if !leaving || arrival.Status == 421 || arrival.Begun.Before(since) ||
			!audit.undisturbed(since, arrival.Begun, from.vm, call.VM, Store) || !audit.undisturbed(since, arrival.Begun, arrival.TargetID) {
			continue
		}
		audit.report.Checked[promise]++
		if late := arrival.Begun.Sub(since); late > audit.Bounds.Leaving {
			audit.addViolation(promise, arrival.ID, "%s sent it to %s, which had been leaving for %s", from.vm, arrival.TargetID, late)
		}
	}
}

// execution is a request that ran: when its caller sent it and when the target started it.
type execution struct{ sent, started time.Time }

// rates checks that no organisation exceeds its rate over the whole fleet.
func (audit *audit) rates(promise string) {
	organisations := make(map[string][]execution)
	for i := range audit.Arrivals {
		arrival := &audit.Arrivals[i]
		if call := audit.calls[arrival.ID]; call != nil && arrival.Run {
			organisations[arrival.Organisation] = append(organisations[arrival.Organisation], execution{call.Sent, arrival.Begun})
		}
	}
	for name, executions := range organisations {
		limit := audit.allowedRequests(name)
		if limit == 0 {
			continue
		}
		count := maxInWindow(executions, audit.Bounds.RateWindow)
		audit.report.Checked[promise] += len(executions)
		if float64(count) > limit {
			audit.addViolation(promise, "", "organisation %q ran %d requests in %s, %.0f are allowed", name, count, audit.Bounds.RateWindow, limit)
		}
	}
}

// allowedRequests returns how many requests of an organisation may run in one
// RateWindow under the most generous version, or 0 if its rate is not limited.
func (audit *audit) allowedRequests(name string) float64 {
	highest := 0.0
	for _, version := range audit.Versions {
		for _, organisation := range version.Organisations {
			if organisation.Name != name || organisation.Rate == 0 {
				continue
			}
			requests := organisation.Rate*audit.Bounds.RateWindow.Seconds() + organisation.Burst
			highest = max(highest, requests*(1+audit.Bounds.RateOvershoot)+audit.Bounds.RateTolerance)
		}
	}
	return highest
}

// maxInWindow returns the highest number of requests that were both sent and started
// within one window.
func maxInWindow(executions []execution, window time.Duration) int {
	slices.SortFunc(executions, func(a, b execution) int { return a.sent.Compare(b.sent) })
	highest := 0
	for i, first := range executions {
		end, count := first.sent.Add(window), 0
		for _, execution := range executions[i:] {
			if execution.sent.After(end) {
				break
			}
			if !execution.started.After(end) {
				count++
			}
		}
		highest = max(highest, count)
	}
	return highest
}

// retryBudget checks that the retries of each service stay within a share of its
// requests plus a margin. Each window of retries is compared with the busiest of three
// windows of requests: the same one, and those that begin half a window and a window
// earlier.
func (audit *audit) retryBudget(promise string) {
	retries := make(map[string][]time.Time)
	requests := make(map[string][]time.Time)
	for _, arrivals := range audit.arrivals {
		slices.SortFunc(arrivals, func(a, b *faker.Arrival) int { return a.Begun.Compare(b.Begun) })
		for i, arrival := range arrivals {
			if i == 0 {
				requests[arrival.Service] = append(requests[arrival.Service], arrival.Begun)
			} else {
				retries[arrival.Service] = append(retries[arrival.Service], arrival.Begun)
			}
		}
	}
	for service, times := range retries {
		slices.SortFunc(times, time.Time.Compare)
		audit.report.Checked[promise] += len(times)
		window := audit.Bounds.RetryWindow
		for i, start := range times {
			count := countIn(times[i:], start, window)
			requestCount := 0
			for _, shift := range []time.Duration{0, window / 2, window} {
				requestCount = max(requestCount, countIn(requests[service], start.Add(-shift), window))
			}
			if limit := audit.Bounds.RetryRatio*float64(requestCount) + audit.Bounds.RetryMargin; float64(count) > limit {
				audit.addViolation(promise, "", "service %s got %d retries in %s, %.0f are allowed", service, count, window, limit)
				break
			}
		}
	}
}

// countIn returns how many of the times lie in the window from start.
func countIn(times []time.Time, start time.Time, window time.Duration) int {
	count := 0
	for _, at := range times {
		if !at.Before(start) && !at.After(start.Add(window)) {
			count++
		}
	}
	return count
}

// Sort orders violations by promise and request ID, so that reports can be compared.
func (report *Report) Sort() {
	slices.SortFunc(report.Violations, func(a, b Violation) int {
		return cmp.Or(cmp.Compare(a.Promise, b.Promise), cmp.Compare(a.ID, b.ID))
	})
}
