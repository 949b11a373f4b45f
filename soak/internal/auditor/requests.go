package auditor

import (
	"slices"
	"time"

	"godwitramp.example/platform/faker"
)

const (
	// slack is how much later than asked things may happen.
	timingSlack = 500 * time.Millisecond
	// sendSlack is how long after a request was sent a connection may end without
	// the request having been read.
	sendSlack = 200 * time.Millisecond
	// fewCalls is the most single cases that don't count as a pattern.
	maxIsolatedCases = 3
	// enoughCalls is the least number of cases that a share is taken of.
	minCases = 8
)

func countRuns(arrivals []*faker.Arrival) int {
	count := 0
	for _, arrival := range arrivals {
		if arrival.Run {
			count++
		}
	}
	return count
}

func (audit *audit) atMostOnce(promise string) {
	for id, call := range audit.calls {
		if call.Idempotent {
			continue
		}
		audit.report.Checked[promise]++
		if count := countRuns(audit.arrivals[id]); count > 1 {
			audit.addViolation(promise, id, "ran %d times", count)
		}
	}
}

func (audit *audit) refusedNotRun(promise string) {
	for id, call := range audit.calls {
		refused := call.Outcome == Complete && slices.Contains([]int{408, 421, 429, 503}, call.Answer.Status)
		if call.Idempotent || !refused {
			continue
		}
		audit.report.Checked[promise]++
		if countRuns(audit.arrivals[id]) > 0 {
			audit.addViolation(promise, id, "%s answered %d and the request has run", call.VM, call.Answer.Status)
		}
	}
}

func (audit *audit) answersFromTargets(promise string) {
	for id, call := range audit.calls {
		if call.Outcome != Complete {
			continue
		}
		audit.report.Checked[promise]++
		answer := call.Answer
		if answer.Signed && !answer.Genuine || answer.Status/100 == 2 && !answer.Signed {
			audit.addViolation(promise, id, "%s answered %d with a body that no target made", call.VM, answer.Status)
		}
		if answer.ID != "" && answer.ID != id {
			audit.addViolation(promise, id, "%s gave the answer to %q", call.VM, answer.ID)
		}
	}
}

// askedFor checks that targets get what callers sent, for the right organisation.
func (audit *audit) requestsUnaltered(promise string) {
	for i := range audit.Arrivals {
		arrival := &audit.Arrivals[i]
		audit.report.Checked[promise]++
		call := audit.calls[arrival.ID]
		if call == nil {
			audit.addViolation(promise, arrival.ID, "no caller sent the request that came to %s", arrival.TargetID)
			continue
		}
		if arrival.Method != call.Method || arrival.Path != call.Path || arrival.Run && arrival.Body != call.Body {
			audit.addViolation(promise, arrival.ID, "came to %s as %s %s %q", arrival.TargetID, arrival.Method, arrival.Path, arrival.Body)
		}
		owns := func(version Version) bool {
			name, known := version.organisation(call.Key)
			return known && name == arrival.Organisation
		}
		if arrival.KeyPassed || !slices.ContainsFunc(audit.Versions, owns) {
			audit.addViolation(promise, arrival.ID, "came to %s for organisation %q, key passed on: %t",
				arrival.TargetID, arrival.Organisation, arrival.KeyPassed)
		}
	}
}

// uncut checks that no VM, while it is undisturbed or stops as planned, closes the
// connection of a request that a sound target has got. Faults of the store are no
// reason.
func (audit *audit) noLostConnections(promise string) {
	for id, call := range audit.calls {
		if call.AfterClose || !audit.undisturbed(call.Sent, call.Ended, call.VM) {
			continue
		}
		targetsUndisturbed := true
		arrivals := audit.arrivals[id]
		for _, arrival := range arrivals {
			targetsUndisturbed = targetsUndisturbed && !arrival.Broken && audit.undisturbed(call.Sent, call.Ended, arrival.TargetID)
		}
		if !targetsUndisturbed || call.Ended.Sub(call.Sent) > call.Remaining {
			continue
		}
		audit.report.Checked[promise]++
		if call.Outcome == Incomplete && (len(arrivals) > 0 || call.Ended.Sub(call.Sent) > sendSlack) {
			audit.addViolation(promise, id, "%s closed the connection after %s, %d attempts",
				call.VM, call.Ended.Sub(call.Sent), len(arrivals))
		}
	}
}

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
			audit.addViolation(promise, id, "came to %d targets, at most %d are allowed", len(targets), limit)
		}
	}
}

// deadlines checks that targets are told no more time than the caller has.
func (audit *audit) deadlines(promise string) {
	for i := range audit.Arrivals {
		arrival := &audit.Arrivals[i]
		call := audit.calls[arrival.ID]
		if call == nil || !audit.undisturbed(call.Sent, arrival.Begun, call.VM, arrival.TargetID) {
			continue
		}
		audit.report.Checked[promise]++
		remaining := call.Remaining - arrival.Begun.Sub(call.Sent)
		if arrival.Remaining == 0 || arrival.Remaining > remaining+timingSlack {
			audit.addViolation(promise, arrival.ID, "%s was told %s, the caller waits for %s more", arrival.TargetID, arrival.Remaining, remaining)
		}
	}
}

// timeouts checks that requests which last longer than their route allows are
// ended.
func (audit *audit) timeouts(promise string) {
	late := 0
	for _, call := range audit.calls {
		_, timeout := audit.limits(call)
		duration := call.Ended.Sub(call.Sent)
		if call.Outcome == CallerLeft || timeout == 0 || duration < timeout || call.AfterClose || !audit.undisturbed(call.Sent, call.Ended, call.VM) {
			continue
		}
		audit.report.Checked[promise]++
		if duration > timeout+timingSlack {
			late++
		}
	}
	if late >= minCases && late > audit.report.Checked[promise]/4 {
		audit.addViolation(promise, "", "%d of %d requests had no answer %s after their timeout", late, audit.report.Checked[promise], timingSlack)
	}
}

// callersGone checks that a request ends soon after its caller has left.
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
		audit.addViolation(promise, "", "%d requests came to targets %s after their callers had left", startedLate, timingSlack)
	}
	if endedLate > maxIsolatedCases && endedLate > abandoned/4 {
		audit.addViolation(promise, "", "targets still worked on %d of %d requests %s after their callers had left", endedLate, abandoned, timingSlack)
	}
}
