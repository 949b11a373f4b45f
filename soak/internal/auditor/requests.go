package auditor

import (
	"slices"
	"time"

	"godwitramp.example/platform/faker"
)

const (
	// slack is how much later than asked things may happen.
	slack = 500 * time.Millisecond
	// sendSlack is how long after a request was sent a connection may end without
	// the request having been read.
	sendSlack = 200 * time.Millisecond
	// fewCalls is the most single cases that don't count as a pattern.
	fewCalls = 3
	// enoughCalls is the least number of cases that a share is taken of.
	enoughCalls = 8
)

func runs(arrivals []*faker.Arrival) int {
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
		if count := runs(audit.arrivals[id]); count > 1 {
			audit.violate(promise, id, "ran %d times", count)
		}
	}
}

func (audit *audit) trueRefusals(promise string) {
	for id, call := range audit.calls {
		refused := call.End == Whole && slices.Contains([]int{408, 421, 429, 503}, call.Answer.Status)
		if call.Idempotent || !refused {
			continue
		}
		audit.report.Checked[promise]++
		if runs(audit.arrivals[id]) > 0 {
			audit.violate(promise, id, "%s answered %d and the request has run", call.VM, call.Answer.Status)
		}
	}
}

func (audit *audit) wholeAnswers(promise string) {
	for id, call := range audit.calls {
		if call.End != Whole {
			continue
		}
		audit.report.Checked[promise]++
		answer := call.Answer
		if answer.Signed && !answer.Genuine || answer.Status/100 == 2 && !answer.Signed {
			audit.violate(promise, id, "%s answered %d with a body that no target made", call.VM, answer.Status)
		}
		if answer.ID != "" && answer.ID != id {
			audit.violate(promise, id, "%s gave the answer to %q", call.VM, answer.ID)
		}
	}
}

// askedFor checks that targets get what callers sent, for the right organisation.
func (audit *audit) askedFor(promise string) {
	for i := range audit.Arrivals {
		arrival := &audit.Arrivals[i]
		audit.report.Checked[promise]++
		call := audit.calls[arrival.ID]
		if call == nil {
			audit.violate(promise, arrival.ID, "no caller sent the request that came to %s", arrival.TargetID)
			continue
		}
		if arrival.Method != call.Method || arrival.Path != call.Path || arrival.Run && arrival.Body != call.Body {
			audit.violate(promise, arrival.ID, "came to %s as %s %s %q", arrival.TargetID, arrival.Method, arrival.Path, arrival.Body)
		}
		owns := func(version Version) bool {
			name, known := version.organisation(call.Key)
			return known && name == arrival.Organisation
		}
		if arrival.KeyPassed || !slices.ContainsFunc(audit.Versions, owns) {
			audit.violate(promise, arrival.ID, "came to %s for organisation %q, key passed on: %t",
				arrival.TargetID, arrival.Organisation, arrival.KeyPassed)
		}
	}
}

// uncut checks that no VM, while it is undisturbed or stops as planned, closes the
// connection of a request that a sound target has got. Faults of the store are no
// reason.
func (audit *audit) uncut(promise string) {
	for id, call := range audit.calls {
		if call.Behind || !audit.calm(call.Sent, call.Ended, call.VM) {
			continue
		}
		sound := true
		arrivals := audit.arrivals[id]
		for _, arrival := range arrivals {
			sound = sound && !arrival.Broken && audit.calm(call.Sent, call.Ended, arrival.TargetID)
		}
		if !sound || call.Ended.Sub(call.Sent) > call.Remaining {
			continue
		}
		audit.report.Checked[promise]++
		if call.End == Cut && (len(arrivals) > 0 || call.Ended.Sub(call.Sent) > sendSlack) {
			audit.violate(promise, id, "%s closed the connection after %s, %d attempts",
				call.VM, call.Ended.Sub(call.Sent), len(arrivals))
		}
	}
}

func (audit *audit) attempts(promise string) {
	for id, call := range audit.calls {
		limit, _ := audit.limits(call)
		targets := make(map[string]bool)
		for _, arrival := range audit.arrivals[id] {
			if audit.calm(call.Sent, arrival.Ended, arrival.TargetID) {
				targets[arrival.TargetID] = true
			}
		}
		audit.report.Checked[promise]++
		if len(targets) > limit {
			audit.violate(promise, id, "came to %d targets, at most %d are allowed", len(targets), limit)
		}
	}
}

// deadlines checks that targets are told no more time than the caller has.
func (audit *audit) deadlines(promise string) {
	for i := range audit.Arrivals {
		arrival := &audit.Arrivals[i]
		call := audit.calls[arrival.ID]
		if call == nil || !audit.calm(call.Sent, arrival.Begun, call.VM, arrival.TargetID) {
			continue
		}
		audit.report.Checked[promise]++
		left := call.Remaining - arrival.Begun.Sub(call.Sent)
		if arrival.Remaining == 0 || arrival.Remaining > left+slack {
			audit.violate(promise, arrival.ID, "%s was told %s, the caller waits for %s more", arrival.TargetID, arrival.Remaining, left)
		}
	}
}

// timeouts checks that requests which last longer than their route allows are
// ended.
func (audit *audit) timeouts(promise string) {
	late := 0
	for _, call := range audit.calls {
		_, timeout := audit.limits(call)
		lasted := call.Ended.Sub(call.Sent)
		if call.End == Left || timeout == 0 || lasted < timeout || call.Behind || !audit.calm(call.Sent, call.Ended, call.VM) {
			continue
		}
		audit.report.Checked[promise]++
		if lasted > timeout+slack {
			late++
		}
	}
	if late >= enoughCalls && late > audit.report.Checked[promise]/4 {
		audit.violate(promise, "", "%d of %d requests had no answer %s after their timeout", late, audit.report.Checked[promise], slack)
	}
}

// callersGone checks that a request ends soon after its caller has left.
func (audit *audit) callersGone(promise string) {
	var sent, working, could int
	for id, call := range audit.calls {
		if call.End != Left {
			continue
		}
		audit.report.Checked[promise]++
		limit := call.Ended.Add(slack)
		for _, arrival := range audit.arrivals[id] {
			if !audit.calm(call.Sent, arrival.Ended, call.VM, arrival.TargetID) {
				continue
			}
			switch {
			case arrival.Begun.After(limit):
				sent++
			case call.Idempotent && arrival.Ended.After(limit):
				working++
				could++
			case call.Idempotent && arrival.Left:
				could++
			}
		}
	}
	if sent > fewCalls {
		audit.violate(promise, "", "%d requests came to targets %s after their callers had left", sent, slack)
	}
	if working > fewCalls && working > could/4 {
		audit.violate(promise, "", "targets still worked on %d of %d requests %s after their callers had left", working, could, slack)
	}
}
