package auditor

import (
	"fmt"
	"slices"
	"time"

	"godwitramp.example/platform/faker"
)

const (
	// timingSlack is how much later than required things may happen.
	timingSlack = 500 * time.Millisecond
	// sendSlack is the time after the send of a request in which the connection may end
	// without an attempt, since the VM may not have read the request yet.
	sendSlack = 200 * time.Millisecond
	// A VM that shows no activity for idleGap is taken to be starved.
	idleGap = 100 * time.Millisecond
	// maxIsolatedCases is the number of single cases that are tolerated.
	maxIsolatedCases = 3
	// minCases is the number of late cases below which their share is not checked.
	minCases = 8
)

// countRuns returns how many of the arrivals the targets executed.
func countRuns(arrivals []*faker.Arrival) int {
	count := 0
	for _, arrival := range arrivals {
		if arrival.Run {
			count++
		}
	}
	return count
}

// atMostOnce checks that a request that is not idempotent runs at most once.
func (audit *audit) atMostOnce(promise string) {
	for id, call := range audit.calls {
		if call.Idempotent {
			continue
		}
		audit.report.Checked[promise]++
		if count := countRuns(audit.arrivals[id]); count > 1 {
			audit.addViolation(promise, id, "ran %d times%s", count, audit.history(call))
		}
	}
}

// history describes the answer to a call and the request's arrivals, with times relative to the answer. A VM
// is followed by the number of its process.
func (audit *audit) history(call *Call) string {
	text := fmt.Sprintf(": answered by %s/%d after %s", call.VM, call.Start, call.Ended.Sub(call.Sent).Round(time.Millisecond))
	for _, arrival := range audit.arrivals[call.ID] {
		text += fmt.Sprintf("; %s of %s began %+.1fms and ended %+.1fms: run=%t refused=%t status=%d left=%t", arrival.TargetID, audit.nameOfSender(arrival),
			float64(arrival.Begun.Sub(call.Ended).Microseconds())/1000, float64(arrival.Ended.Sub(call.Ended).Microseconds())/1000,
			arrival.Run, arrival.Refused, arrival.Status, arrival.Left)
	}
	return text
}

// refusedNotRun checks that a request that is not idempotent did not run if the
// caller got status 408, 421, 429 or 503.
func (audit *audit) refusedNotRun(promise string) {
	for id, call := range audit.calls {
		refused := call.Outcome == Complete && slices.Contains([]int{408, 421, 429, 503}, call.Answer.Status)
		if call.Idempotent || !refused {
			continue
		}
		audit.report.Checked[promise]++
		if countRuns(audit.arrivals[id]) > 0 {
			audit.addViolation(promise, id, "%s answered %d and the request has run%s", call.VM, call.Answer.Status, audit.history(call))
		}
	}
}

// answersFromTargets checks that a successful answer is the unaltered answer of a
// target to this request.
func (audit *audit) answersFromTargets(promise string) {
	for id, call := range audit.calls {
		if call.Outcome != Complete {
			continue
		}
		audit.report.Checked[promise]++
		answer := call.Answer
		if answer.Signed && !answer.Genuine || answer.Status/100 == 2 && !answer.Signed {
			audit.addViolation(promise, id, "%s answered %d with a body that no target sent", call.VM, answer.Status)
		}
		if answer.ID != "" && answer.ID != id {
			audit.addViolation(promise, id, "%s returned the answer to request %q%s", call.VM, answer.ID, audit.history(call))
		}
	}
}

// requestsUnaltered checks that targets receive requests as callers sent them, with
// the caller's organisation and without its key.
func (audit *audit) requestsUnaltered(promise string) {
	for i := range audit.Arrivals {
		arrival := &audit.Arrivals[i]
		audit.report.Checked[promise]++
		call := audit.calls[arrival.ID]
		if call == nil {
			audit.addViolation(promise, arrival.ID, "target %s received a request that no caller sent", arrival.TargetID)
			continue
		}
		if arrival.Method != call.Method || arrival.Path != call.Path || arrival.Run && arrival.Body != call.Body {
			audit.addViolation(promise, arrival.ID, "target %s received it altered, as %s %s with body %q", arrival.TargetID, arrival.Method, arrival.Path, arrival.Body)
		}
		owns := func(version Version) bool {
			organisation, known := version.organisation(call.Key)
			return known && organisation.Name == arrival.Organisation
		}
		if arrival.KeyPassed || !slices.ContainsFunc(audit.Versions, owns) {
			audit.addViolation(promise, arrival.ID, "target %s received it for organisation %q, key passed on: %t",
				arrival.TargetID, arrival.Organisation, arrival.KeyPassed)
		}
	}
}

// noLostConnections checks that a VM that is undisturbed or stops as planned does not
// close the caller's connection without an answer, and that a stop replaces no answer on
// which a target is at work. Faults of the store are no excuse. A request without any attempt
// isn't counted if the connection ends within sendSlack, or at an earlier request.
func (audit *audit) noLostConnections(promise string) {
	for id, call := range audit.calls {
		arrivals := audit.arrivals[id]
		if call.Behind != "" && len(arrivals) == 0 || audit.lossExcused(call) {
			continue
		}
		audit.report.Checked[promise]++
		duration := call.Ended.Sub(call.Sent)
		switch {
		case call.Outcome == Incomplete && (len(arrivals) > 0 || duration > sendSlack):
			audit.addViolation(promise, id, "%s closed the connection without an answer after %s and %d attempts%s",
				call.VM, duration, len(arrivals), audit.circumstances(call))
		case audit.replacedByStop(call):
			audit.addViolation(promise, id, "%s answered %d itself after %s while its target was at work%s",
				call.VM, call.Answer.Status, duration, audit.circumstances(call))
		}
	}
}

// lossExcused reports whether something else than the VM explains that a request ended
// without an answer: a disturbance of the VM or of a target, a broken answer, the caller's
// deadline, a target that works until late in a planned stop, or the loss of an earlier
// request of the connection.
func (audit *audit) lossExcused(call *Call) bool {
	ended := call.Ended
	stop := audit.stopOf(call)
	if stop != nil && stop.Until.Before(ended) {
		ended = stop.Until // what comes after the end of the process has not cut the request
	}
	if !audit.undisturbed(call.Sent, ended, call.VM) || call.Ended.Sub(call.Sent) > call.Remaining {
		return true
	}
	for _, arrival := range audit.arrivals[call.ID] {
		sentInTime := stop != nil && !call.Sent.After(stop.From.Add(audit.Bounds.Grace/2))
		if arrival.Broken || !audit.undisturbed(call.Sent, call.Ended, arrival.TargetID) ||
			sentInTime && arrival.Ended.After(stop.From.Add(audit.Bounds.Grace*5/6)) {
			return true
		}
	}
	earlier := audit.calls[call.Behind]
	return earlier != nil && (earlier.Outcome == CallerLeft || earlier.Outcome == Incomplete && audit.lossExcused(earlier))
}

// stopOf returns the planned stop of the call's process, or nil if there was none.
func (audit *audit) stopOf(call *Call) *Stop {
	for i := range audit.Stops {
		if stop := &audit.Stops[i]; stop.VM == call.VM && stop.Start == call.Start {
			return stop
		}
	}
	return nil
}

// replacedByStop reports whether the VM, while it stopped, broke off the request at a target
// that ran it and gave an answer of its own, with more than timingSlack left.
func (audit *audit) replacedByStop(call *Call) bool {
	stop := audit.stopOf(call)
	if stop == nil || call.Ended.Before(stop.From) || call.Outcome != Complete || call.Answer.Signed {
		return false
	}
	_, timeout := audit.limits(call)
	if call.Ended.Sub(call.Sent)+timingSlack > min(timeout, call.Remaining) {
		return false
	}
	return slices.ContainsFunc(audit.arrivals[call.ID], func(arrival *faker.Arrival) bool { return arrival.Run && arrival.Left })
}

// circumstances describes the stop and the earlier request that a loss has to do with.
func (audit *audit) circumstances(call *Call) string {
	text := ""
	if call.Behind != "" {
		text = ", behind " + call.Behind
	}
	if stop := audit.stopOf(call); stop != nil {
		text += fmt.Sprintf(", sent %s after SIGTERM", call.Sent.Sub(stop.From))
	}
	return text
}

// attempts checks that a request reaches no more targets than its route allows.
func (audit *audit) attempts(promise string) {
	for id, call := range audit.calls {
		limit, _ := audit.limits(call)
		targets := make(map[string]bool)
		for _, arrival := range audit.arrivals[id] {
			if audit.undisturbed(call.Sent, arrival.Ended, arrival.TargetID) {
				targets[arrival.TargetID] = true
			}
		}
		audit.report.Checked[promise]++
		if len(targets) > limit {
			audit.addViolation(promise, id, "%d targets received it, at most %d are allowed", len(targets), limit)
		}
	}
}

// deadlines checks that the remaining time sent to a target is set and exceeds the
// time for which the caller still waits by at most timingSlack. The time in which the VM
// was seen doing nothing at all isn't held against it: it had not read the request.
func (audit *audit) deadlines(promise string) {
	activity := audit.activity()
	for _, arrival := range audit.deliveries {
		from, call := arrival.from, arrival.call
		if !audit.undisturbed(call.Sent, arrival.Begun, call.VM, from.vm, arrival.TargetID) {
			continue
		}
		audit.report.Checked[promise]++
		remaining := call.Remaining - arrival.Begun.Sub(call.Sent)
		if arrival.Remaining > remaining+timingSlack {
			remaining += idleTime(activity[call.VM], call.Sent, arrival.Begun)
			if from.vm != call.VM {
				remaining += idleTime(activity[from.vm], call.Sent, arrival.Begun)
			}
		}
		if arrival.Remaining == 0 || arrival.Remaining > remaining+timingSlack {
			audit.addViolation(promise, arrival.ID, "target %s got %s of remaining time, the caller waits for another %s", arrival.TargetID, arrival.Remaining, remaining)
		}
	}
}

// activity returns, for each VM, the times at which it sent a request to a target or answered
// a caller, in order.
func (audit *audit) activity() map[string][]time.Time {
	activity := make(map[string][]time.Time)
	for _, call := range audit.calls {
		if call.Outcome == Complete {
			activity[call.VM] = append(activity[call.VM], call.Ended)
		}
	}
	for _, arrival := range audit.deliveries {
		activity[arrival.from.vm] = append(activity[arrival.from.vm], arrival.Begun)
	}
	for _, times := range activity {
		slices.SortFunc(times, time.Time.Compare)
	}
	return activity
}

// idleTime returns how much of a span lies in gaps of at least idleGap without activity.
func idleTime(activity []time.Time, from, until time.Time) time.Duration {
	idle := time.Duration(0)
	first, _ := slices.BinarySearchFunc(activity, from, time.Time.Compare)
	for _, at := range append(slices.Clone(activity[first:]), until) {
		if at.After(until) {
			at = until
		}
		if gap := at.Sub(from); gap >= idleGap {
			idle += gap
		}
		if at.Equal(until) {
			break
		}
		from = at
	}
	return idle
}

// timeouts checks that requests end at the timeout of their route. Up to a quarter
// of the requests that reach their timeout may end late.
func (audit *audit) timeouts(promise string) {
	late := 0
	for _, call := range audit.calls {
		_, timeout := audit.limits(call)
		duration := call.Ended.Sub(call.Sent)
		if call.Outcome == CallerLeft || timeout == 0 || duration < timeout || call.Behind != "" || !audit.undisturbed(call.Sent, call.Ended, call.VM) {
			continue
		}
		audit.report.Checked[promise]++
		if duration > timeout+timingSlack {
			late++
		}
	}
	if late >= minCases && late > audit.report.Checked[promise]/4 {
		audit.addViolation(promise, "", "%d of %d requests that reached their timeout had no answer %s later", late, audit.report.Checked[promise], timingSlack)
	}
}

// abandonedRequests checks that attempts neither start nor, for idempotent requests,
// still run when their caller has left more than timingSlack before. It tolerates
// maxIsolatedCases of each, and up to a quarter of attempts that still run.
func (audit *audit) abandonedRequests(promise string) {
	var startedLate, endedLate, abandoned int
	for id, call := range audit.calls {
		if call.Outcome != CallerLeft {
			continue
		}
		audit.report.Checked[promise]++
		limit := call.Ended.Add(timingSlack)
		for _, arrival := range audit.arrivals[id] {
			if !audit.undisturbed(call.Sent, arrival.Ended, call.VM, arrival.TargetID) {
				continue
			}
			switch {
			case arrival.Begun.After(limit):
				startedLate++
			case call.Idempotent && arrival.Ended.After(limit):
				endedLate++
				abandoned++
			case call.Idempotent && arrival.Left:
				abandoned++
			}
		}
	}
	if startedLate > maxIsolatedCases {
		audit.addViolation(promise, "", "targets received %d requests more than %s after their callers had left", startedLate, timingSlack)
	}
	if endedLate > maxIsolatedCases && endedLate > abandoned/4 {
		audit.addViolation(promise, "", "targets still ran %d of %d requests %s after their callers had left", endedLate, abandoned, timingSlack)
	}
}
