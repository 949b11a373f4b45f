package auditor

import (
	"time"

	"godwitramp.example/platform/faker"
)

const (
	// quietSlack is how long after a target asked for quiet requests may still
	// arrive, and quietArrivals how many may come later.
	coolDownSlack    = 500 * time.Millisecond
	maxEarlyRequests = 2
)

// sender is one start of a VM, with a target that it sends to.
type sender struct {
	vm     string
	start  int
	target string
}

// senderOf returns who sent what arrived, and the call it belongs to.
func (audit *audit) senderOf(arrival *faker.Arrival) (sender, *Call) {
	call := audit.calls[arrival.ID]
	if call == nil {
		return sender{}, nil
	}
	return sender{vm: call.VM, start: call.Start, target: arrival.TargetID}, call
}

// leavingTold checks that a VM which has passed an answer on whose target says that it
// leaves sends it nothing that came later than allowed, whatever else is disturbed, and
// that no caller sees the word.
func (audit *audit) announcedLeaving(promise string) {
	announcedAt := make(map[sender]time.Time)
	for i := range audit.Arrivals {
		arrival := &audit.Arrivals[i]
		from, call := audit.senderOf(arrival)
		if call == nil || !arrival.Leaving || call.Outcome != Complete || call.Answer.TargetID != arrival.TargetID {
			continue
		}
		if announced, ok := announcedAt[from]; !ok || call.Ended.Before(announced) {
			announcedAt[from] = call.Ended
		}
	}
	for i := range audit.Arrivals {
		arrival := &audit.Arrivals[i]
		from, call := audit.senderOf(arrival)
		announced, ok := announcedAt[from]
		if call == nil || !ok || arrival.Status == 421 || call.Sent.Before(announced) {
			continue
		}
		audit.report.Checked[promise]++
		if late := call.Sent.Sub(announced); late > audit.Bounds.Leaving {
			audit.addViolation(promise, call.ID, "%s sent it to %s, which had said %s before that it leaves", call.VM, arrival.TargetID, late)
		}
	}
	for id, call := range audit.calls {
		if call.Answer.Leaving {
			audit.addViolation(promise, id, "%s told a caller that a target leaves", call.VM)
		}
	}
}

// quiet checks that a VM leaves a target alone for as long as it has asked.
func (audit *audit) coolDowns(promise string) {
	arrivals := make(map[sender][]time.Time)
	for i := range audit.Arrivals {
		arrival := &audit.Arrivals[i]
		if from, call := audit.senderOf(arrival); call != nil && arrival.Status != 421 {
			arrivals[from] = append(arrivals[from], arrival.Begun)
		}
	}
	for i := range audit.Arrivals {
		arrival := &audit.Arrivals[i]
		from, call := audit.senderOf(arrival)
		until := arrival.Ended.Add(arrival.Quiet)
		if call == nil || arrival.Quiet == 0 || audit.disturbed(arrival.Begun, until, call.VM, LinkTo(arrival.TargetID)) {
			continue
		}
		audit.report.Checked[promise]++
		early := 0
		for _, started := range arrivals[from] {
			if started.After(arrival.Ended.Add(coolDownSlack)) && started.Before(until) {
				early++
			}
		}
		if early > maxEarlyRequests {
			audit.addViolation(promise, call.ID, "%s sent %d requests to %s, which had asked for quiet for %s",
				call.VM, early, arrival.TargetID, arrival.Quiet)
		}
	}
}
