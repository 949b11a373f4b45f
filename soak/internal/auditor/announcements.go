package auditor

import (
	"fmt"
	"time"

	"godwitramp.example/platform/faker"
)

const (
	// Requests may still arrive for coolDownSlack after a target requested a
	// cool-down, since they were in flight, and maxEarlyRequests may arrive later.
	coolDownSlack    = 500 * time.Millisecond
	maxEarlyRequests = 2
	// cancelSlack is how much later than a target's rejection the answer of another target
	// may end, so that the VM cancels the rejected attempt before it has read the rejection.
	cancelSlack = 20 * time.Millisecond
)

// sender is a process of a VM (its start number) and a target that it sends to.
type sender struct {
	vm     string
	start  int
	target string
}

// delivery is an arrival with its sender and its call.
type delivery struct {
	*faker.Arrival
	from sender
	call *Call
}

// senderOf returns the sender of an arrival and its call, or nil if no caller sent it, or it isn't known
// to which VM it was passed on.
func (audit *audit) senderOf(arrival *faker.Arrival) (sender, *Call) {
	call := audit.calls[arrival.ID]
	if call == nil {
		return sender{}, nil
	}
	if forward, ok := audit.forwards[[2]string{arrival.ID, arrival.TargetID}]; ok {
		return sender{vm: forward.VM, start: forward.Start, target: arrival.TargetID}, call
	}
	if _, passedOn := audit.PassedOn[arrival.ID]; passedOn && !audit.sentByCalled(call, arrival) {
		return sender{}, nil
	}
	return sender{vm: call.VM, start: call.Start, target: arrival.TargetID}, call
}

// nameOfSender returns the name of the VM that sent an arrival and the number of its process.
func (audit *audit) nameOfSender(arrival *faker.Arrival) string {
	if from, call := audit.senderOf(arrival); call != nil {
		return fmt.Sprintf("%s/%d", from.vm, from.start)
	}
	return "an unknown VM"
}

// sentByCalled reports whether the VM that the caller called has sent a request to the target itself,
// although it has passed it on too.
func (audit *audit) sentByCalled(call *Call, arrival *faker.Arrival) bool {
	return call.Outcome == Complete && call.Answer.TargetID == arrival.TargetID
}

// announcedLeaving checks the requests that a VM receives more than Bounds.Leaving after
// it forwarded an answer in which a target announced that it leaves: the VM sends none
// of them to that target, whatever faults there are. The announcement itself must
// not reach callers.
func (audit *audit) announcedLeaving(promise string) {
	announcedAt := make(map[sender]time.Time)
	for _, arrival := range audit.deliveries {
		from, call := arrival.from, arrival.call
		if !arrival.Leaving || call.Outcome != Complete || call.Answer.TargetID != arrival.TargetID {
			continue
		}
		if announced, ok := announcedAt[from]; !ok || call.Ended.Before(announced) {
			announcedAt[from] = call.Ended
		}
	}
	for _, arrival := range audit.deliveries {
		from, call := arrival.from, arrival.call
		announced, ok := announcedAt[from]
		if !ok || arrival.Status == 421 || call.Sent.Before(announced) {
			continue
		}
		audit.report.Checked[promise]++
		if late := call.Sent.Sub(announced); late > audit.Bounds.Leaving {
			audit.addViolation(promise, call.ID, "%s sent it to %s, which had announced %s earlier that it leaves", from.vm, arrival.TargetID, late)
		}
	}
	for id, call := range audit.calls {
		if call.Answer.Leaving {
			audit.addViolation(promise, id, "%s passed the announcement of a leaving target on to a caller", call.VM)
		}
	}
}

// coolDowns checks that a VM respects the cool-down that a target requested: from
// coolDownSlack after the request until the end of the cool-down, it sends the target at
// most maxEarlyRequests requests. Cool-downs during which the VM or the link to the
// target is disturbed are not checked, nor are those of which the VM may not have read, as
// another target had answered by then.
func (audit *audit) coolDowns(promise string) {
	arrivals := make(map[sender][]time.Time)
	for _, arrival := range audit.deliveries {
		if arrival.Status != 421 {
			arrivals[arrival.from] = append(arrivals[arrival.from], arrival.Begun)
		}
	}
	for _, arrival := range audit.deliveries {
		from, call := arrival.from, arrival.call
		until := arrival.Ended.Add(arrival.Quiet)
		if arrival.Quiet == 0 || audit.disturbed(arrival.Begun, until, from.vm, LinkTo(arrival.TargetID)) ||
			audit.answeredBefore(call, arrival.Arrival) {
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
			audit.addViolation(promise, call.ID, "%s sent %d requests to %s, which had requested a cool-down of %s",
				from.vm, early, arrival.TargetID, arrival.Quiet)
		}
	}
}

// answeredBefore reports whether the answer that the caller got came from another target and
// may have ended the attempt before its own answer was read.
func (audit *audit) answeredBefore(call *Call, attempt *faker.Arrival) bool {
	for _, arrival := range audit.arrivals[call.ID] {
		if arrival.TargetID == call.Answer.TargetID && arrival.TargetID != attempt.TargetID && arrival.Ended.Before(attempt.Ended.Add(cancelSlack)) {
			return true
		}
	}
	return false
}
