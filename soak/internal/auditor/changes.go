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
	fallBackSlack = 250 * time.Millisecond
	// deniedShare and deniedCalls are the refusals for good that may be in error.
	deniedShare = 500
	deniedCalls = 5
)

// withdrawnKeys checks that no key works on any VM once it is withdrawn for
// long enough.
func (audit *audit) withdrawnKeys(promise string) {
	for id, call := range audit.calls {
		versions := audit.versions(call, audit.Bounds.Withdrawal)
		if slices.ContainsFunc(versions, func(version Version) bool {
			_, known := version.organisation(call.Key)
			return known
		}) {
			continue
		}
		audit.report.Checked[promise]++
		if runs(audit.arrivals[id]) > 0 {
			audit.violate(promise, id, "%s let a request with a withdrawn key run", call.VM)
		}
	}
}

// configuration checks that requests are handled as a version allows that may be
// in force.
func (audit *audit) configuration(promise string) {
	denied := 0
	for id, call := range audit.calls {
		arrivals := audit.arrivals[id]
		bound := audit.Bounds.Propagation
		if !audit.inTouch(call, call.Sent, call.Ended) {
			bound = 0
		}
		audit.report.Checked[promise]++
		allowed := slices.ContainsFunc(audit.versions(call, bound), func(version Version) bool { return version.handles(call, arrivals) })
		if !allowed {
			audit.violate(promise, id, "%s answered %d, run %d times, which no version in force allows", call.VM, call.Answer.Status, runs(arrivals))
		}
		if call.End == Whole && !call.Answer.Signed && isDenial(call.Answer.Status) {
			denied++
		}
	}
	if denied > deniedCalls+len(audit.calls)/deniedShare {
		audit.violate(promise, "", "%d proper requests were turned down for good", denied)
	}
}

// isDenial reports whether the status says that the request is wrong. 401 and
// 404 depend on the configuration.
func isDenial(status int) bool {
	return status/100 == 4 && !slices.Contains([]int{401, 404, 408, 421, 429}, status)
}

// noFallBack checks that no process handles a request as only a version allows
// that is older than one it has shown before.
func (audit *audit) noFallBack(promise string) {
	type process struct {
		vm    string
		start int
	}
	calls := make(map[process][]*Call)
	for _, call := range audit.calls {
		calls[process{call.VM, call.Start}] = append(calls[process{call.VM, call.Start}], call)
	}
	for _, sent := range calls {
		ended := slices.Clone(sent)
		slices.SortFunc(sent, func(a, b *Call) int { return a.Sent.Compare(b.Sent) })
		slices.SortFunc(ended, func(a, b *Call) int { return a.Ended.Compare(b.Ended) })
		shown := uint64(0)
		for _, call := range sent {
			for len(ended) > 0 && ended[0].Ended.Add(fallBackSlack).Before(call.Sent) {
				if oldest, _, ok := audit.shown(ended[0]); ok {
					shown = max(shown, oldest)
				}
				ended = ended[1:]
			}
			oldest, newest, ok := audit.shown(call)
			if !ok {
				continue
			}
			audit.report.Checked[promise]++
			if newest < shown {
				audit.violate(promise, call.ID, "%s handled it as version %d to %d after it had shown %d", call.VM, oldest, newest, shown)
			}
		}
	}
}

// shown returns the oldest and the newest version that allow what became of the
// request. It reports false if nothing can be told from it.
func (audit *audit) shown(call *Call) (oldest, newest uint64, ok bool) {
	arrivals := audit.arrivals[call.ID]
	own := call.End == Whole && !call.Answer.Signed && (call.Answer.Status == 401 || call.Answer.Status == 404)
	if !own && runs(arrivals) == 0 {
		return 0, 0, false
	}
	oldest = math.MaxUint64
	for _, version := range audit.versions(call, 0) {
		if version.handles(call, arrivals) {
			oldest, newest, ok = min(oldest, version.Version), max(newest, version.Version), true
		}
	}
	return oldest, newest, ok
}

func (audit *audit) leavingTargets(promise string) {
	left := make(map[string]time.Time)
	for _, departure := range audit.Departures {
		left[departure.TargetID] = departure.Acknowledged
	}
	for i := range audit.Arrivals {
		arrival := &audit.Arrivals[i]
		since, leaves := left[arrival.TargetID]
		call := audit.calls[arrival.ID]
		if !leaves || call == nil || arrival.Status == 421 || arrival.Begun.Before(since) ||
			!audit.inTouch(call, since, arrival.Begun) || !audit.calm(since, arrival.Begun, arrival.TargetID) {
			continue
		}
		audit.report.Checked[promise]++
		if late := arrival.Begun.Sub(since); late > audit.Bounds.Leaving {
			audit.violate(promise, arrival.ID, "%s sent it to %s, which has been leaving for %s", call.VM, arrival.TargetID, late)
		}
	}
}

// run is a request that ran, with the time at which it was sent.
type run struct{ sent, begun time.Time }

// rates checks that no organisation gets more than its rate over the fleet.
func (audit *audit) rates(promise string) {
	organisations := make(map[string][]run)
	for i := range audit.Arrivals {
		arrival := &audit.Arrivals[i]
		if call := audit.calls[arrival.ID]; call != nil && arrival.Run {
			organisations[arrival.Organisation] = append(organisations[arrival.Organisation], run{call.Sent, arrival.Begun})
		}
	}
	for name, runs := range organisations {
		allowed := audit.allowed(name)
		if allowed == 0 {
			continue
		}
		most := mostIn(runs, audit.Bounds.Window)
		audit.report.Checked[promise] += len(runs)
		if float64(most) > allowed {
			audit.violate(promise, "", "%q got %d requests in %s, %.0f are allowed", name, most, audit.Bounds.Window, allowed)
		}
	}
}

// allowed returns how many requests of an organisation may run in a window, 0
// without a limit.
func (audit *audit) allowed(name string) float64 {
	most := 0.0
	for _, version := range audit.Versions {
		for _, organisation := range version.Organisations {
			if organisation.Name != name || organisation.Rate == 0 {
				continue
			}
			requests := organisation.Rate*audit.Bounds.Window.Seconds() + organisation.Burst
			most = max(most, requests*(1+audit.Bounds.Overshoot)+audit.Bounds.Tolerance)
		}
	}
	return most
}

// mostIn returns the most requests that were sent and begun in one window.
func mostIn(runs []run, window time.Duration) int {
	slices.SortFunc(runs, func(a, b run) int { return a.sent.Compare(b.sent) })
	most := 0
	for i, first := range runs {
		end, count := first.sent.Add(window), 0
		for _, run := range runs[i:] {
			if run.sent.After(end) {
				break
			}
			if !run.begun.After(end) {
				count++
			}
		}
		most = max(most, count)
	}
	return most
}

// retryBudget checks that targets get few further attempts beside the requests.
func (audit *audit) retryBudget(promise string) {
	further := make(map[string][]time.Time)
	requests := make(map[string][]time.Time)
	for _, arrivals := range audit.arrivals {
		slices.SortFunc(arrivals, func(a, b *faker.Arrival) int { return a.Begun.Compare(b.Begun) })
		for i, arrival := range arrivals {
			if i == 0 {
				requests[arrival.Service] = append(requests[arrival.Service], arrival.Begun)
			} else {
				further[arrival.Service] = append(further[arrival.Service], arrival.Begun)
			}
		}
	}
	for service, times := range further {
		slices.SortFunc(times, time.Time.Compare)
		audit.report.Checked[promise] += len(times)
		window := audit.Bounds.RetryWindow
		for i, begin := range times {
			count := countIn(times[i:], begin, window)
			asked := 0
			for _, shift := range []time.Duration{0, window / 2, window} {
				asked = max(asked, countIn(requests[service], begin.Add(-shift), window))
			}
			if allowed := audit.Bounds.RetryRatio*float64(asked) + audit.Bounds.RetryExtra; float64(count) > allowed {
				audit.violate(promise, "", "%s got %d further attempts in %s, %.0f are allowed", service, count, window, allowed)
				break
			}
		}
	}
}

func countIn(times []time.Time, begin time.Time, window time.Duration) int {
	count := 0
	for _, at := range times {
		if !at.Before(begin) && !at.After(begin.Add(window)) {
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
