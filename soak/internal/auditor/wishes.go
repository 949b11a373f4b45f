package auditor

import (
	"time"

	"godwitramp.example/platform/faker"
)

const (
	// quietSlack is how long after a target asked for quiet requests may still
	// arrive, and quietArrivals how many may come later.
	quietSlack    = 500 * time.Millisecond
	quietArrivals = 2
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
func (audit *audit) leavingTold(promise string) {
	since := make(map[sender]time.Time)
	for i := range audit.Arrivals {
		arrival := &audit.Arrivals[i]
		from, call := audit.senderOf(arrival)
		if call == nil || !arrival.Leaving || call.End != Whole || call.Answer.TargetID != arrival.TargetID {
			continue
		}
		if told, ok := since[from]; !ok || call.Ended.Before(told) {
			since[from] = call.Ended
		}
	}
	for i := range audit.Arrivals {
		arrival := &audit.Arrivals[i]
		from, call := audit.senderOf(arrival)
		told, ok := since[from]
		if call == nil || !ok || arrival.Status == 421 || call.Sent.Before(told) {
			continue
		}
		audit.report.Checked[promise]++
		if late := call.Sent.Sub(told); late > audit.Bounds.Leaving {
			audit.violate(promise, call.ID, "%s sent it to %s, which had said %s before that it leaves", call.VM, arrival.TargetID, late)
		}
	}
	for id, call := range audit.calls {
		if call.Answer.Leaving {
			audit.violate(promise, id, "%s told a caller that a target leaves", call.VM)
		}
	}
}

// quiet checks that a VM leaves a target alone for as long as it has asked.
func (audit *audit) quiet(promise string) {
	sent := make(map[sender][]time.Time)
	for i := range audit.Arrivals {
		arrival := &audit.Arrivals[i]
		if from, call := audit.senderOf(arrival); call != nil && arrival.Status != 421 {
			sent[from] = append(sent[from], arrival.Begun)
		}
	}
	for i := range audit.Arrivals {
		arrival := &audit.Arrivals[i]
		from, call := audit.senderOf(arrival)
		until := arrival.Ended.Add(arrival.Quiet)
		if call == nil || arrival.Quiet == 0 || audit.disturbed(arrival.Begun, until, call.VM, WayTo(arrival.TargetID)) {
			continue
		}
		audit.report.Checked[promise]++
		early := 0
		for _, begun := range sent[from] {
			if begun.After(arrival.Ended.Add(quietSlack)) && begun.Before(until) {
				early++
			}
		}
		if early > quietArrivals {
			audit.violate(promise, call.ID, "%s sent %d requests to %s, which had asked for quiet for %s",
				call.VM, early, arrival.TargetID, arrival.Quiet)
		}
	}
}
