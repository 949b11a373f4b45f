package auditor

import (
	"cmp"
	"math"
	"slices"
	"time"

	"godwitramp.example/platform/faker"
)

const (
	// fallBackSlack is how much later than a sign of a version an older one may
	// still be seen, for requests that were on their way.
	versionSlack = 250 * time.Millisecond
	// deniedShare and deniedCalls are the refusals for good that may be in error.
	callsPerToleratedRefusal = 500
	toleratedRefusals        = 5
)

// withdrawnKeys checks that no key works on any VM once it is withdrawn for
// long enough.
func (audit *audit) withdrawnKeys(promise string) {
	for id, call := range audit.calls {
		versions := audit.possibleVersions(call, audit.Bounds.Withdrawal)
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

// configuration checks that requests are handled as a version allows that may be
// in force.
func (audit *audit) configuration(promise string) {
	refused := 0
	for id, call := range audit.calls {
		arrivals := audit.arrivals[id]
		maxAge := audit.Bounds.Propagation
		if !audit.vmAndStoreUndisturbed(call, call.Sent, call.Ended) {
			maxAge = 0
		}
		audit.report.Checked[promise]++
		allowed := slices.ContainsFunc(audit.possibleVersions(call, maxAge), func(version Version) bool { return version.allows(call, arrivals) })
		if !allowed {
			audit.addViolation(promise, id, "%s answered %d, run %d times, which no version in force allows", call.VM, call.Answer.Status, countRuns(arrivals))
		}
		if call.Outcome == Complete && !call.Answer.Signed && isPermanentRefusal(call.Answer.Status) {
			refused++
		}
	}
	if refused > toleratedRefusals+len(audit.calls)/callsPerToleratedRefusal {
		audit.addViolation(promise, "", "%d proper requests were turned down for good", refused)
	}
}

// isDenial reports whether the status says that the request is wrong. 401 and
// 404 depend on the configuration.
func isPermanentRefusal(status int) bool {
	return status/100 == 4 && !slices.Contains([]int{401, 404, 408, 421, 429}, status)
}

// noFallBack checks that no process handles a request as only a version allows
// that is older than one it has shown before.
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
				audit.addViolation(promise, call.ID, "%s handled it as version %d to %d after it had shown %d", call.VM, oldest, newest, newestSeen)
			}
		}
	}
}

// shown returns the oldest and the newest version that allow what became of the
// request. It reports false if nothing can be told from it.
func (audit *audit) versionRange(call *Call) (oldest, newest uint64, ok bool) {
	arrivals := audit.arrivals[call.ID]
	localAnswer := call.Outcome == Complete && !call.Answer.Signed && (call.Answer.Status == 401 || call.Answer.Status == 404)
	if !localAnswer && countRuns(arrivals) == 0 {
		return 0, 0, false
	}
	oldest = math.MaxUint64
	for _, version := range audit.possibleVersions(call, 0) {
		if version.allows(call, arrivals) {
			oldest, newest, ok = min(oldest, version.Version), max(newest, version.Version), true
		}
	}
	return oldest, newest, ok
}

func (audit *audit) leavingTargets(promise string) {
	leavingSince := make(map[string]time.Time)
	for _, departure := range audit.Departures {
		leavingSince[departure.TargetID] = departure.Acknowledged
	}
	for i := range audit.Arrivals {
		arrival := &audit.Arrivals[i]
		since, leaving := leavingSince[arrival.TargetID]
		call := audit.calls[arrival.ID]
		if !leaving || call == nil || arrival.Status == 421 || arrival.Begun.Before(since) ||
			!audit.vmAndStoreUndisturbed(call, since, arrival.Begun) || !audit.undisturbed(since, arrival.Begun, arrival.TargetID) {
			continue
		}
		audit.report.Checked[promise]++
		if late := arrival.Begun.Sub(since); late > audit.Bounds.Leaving {
			audit.addViolation(promise, arrival.ID, "%s sent it to %s, which has been leaving for %s", call.VM, arrival.TargetID, late)
		}
	}
}

// run is a request that ran, with the time at which it was sent.
type execution struct{ sent, started time.Time }

// rates checks that no organisation gets more than its rate over the fleet.
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
			audit.addViolation(promise, "", "%q got %d requests in %s, %.0f are allowed", name, count, audit.Bounds.RateWindow, limit)
		}
	}
}

// allowed returns how many requests of an organisation may run in a window, 0
// without a limit.
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

// mostIn returns the most requests that were sent and begun in one window.
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

// retryBudget checks that targets get few further attempts beside the requests.
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
				audit.addViolation(promise, "", "%s got %d further attempts in %s, %.0f are allowed", service, count, window, limit)
				break
			}
		}
	}
}

func countIn(times []time.Time, start time.Time, window time.Duration) int {
	count := 0
	for _, at := range times {
		if !at.Before(start) && !at.After(start.Add(window)) {
			count++
		}
	}
	return count
}

// Sort orders violations by promise, for reports that can be compared.
func (report *Report) Sort() {
	slices.SortFunc(report.Violations, func(a, b Violation) int {
		return cmp.Or(cmp.Compare(a.Promise, b.Promise), cmp.Compare(a.ID, b.ID))
	})
}
