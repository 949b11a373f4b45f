package auditor

import (
	"slices"
	"time"

	"godwitramp.example/platform/faker"
)

const (
	// A target that names a limit may get limitFactor times of it, and limitExtra requests more,
	// in any limitWindow, from the VMs that forwarded an answer with it limitDelay before or
	// earlier.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitExtra  = 5
	limitDelay  = 500 * time.Millisecond
)

// namedLimits checks that targets get no more than the limits that they name, from Bounds.SettleTime
// after they named them first until they named them last. Requests of VMs that were disturbed
// don't count.
func (audit *audit) namedLimits(promise string) {
	for target, arrivals := range audit.byTarget {
		slices.SortFunc(arrivals, func(a, b *faker.Arrival) int { return a.Ended.Compare(b.Ended) })
		for len(arrivals) > 0 {
			named := slices.IndexFunc(arrivals, func(arrival *faker.Arrival) bool { return arrival.Limit == 0 })
			if named < 0 {
				named = len(arrivals)
			}
			audit.checkLimit(promise, target, arrivals[:named])
			arrivals = arrivals[max(1, named):]
		}
	}
}

// checkLimit checks the requests whose answers name a limit, in the order in which they ended.
func (audit *audit) checkLimit(promise, target string, arrivals []*faker.Arrival) {
	if len(arrivals) == 0 {
		return
	}
	toldAt := make(map[sender]time.Time)
	var begun []time.Time
	limit := 0.0
	for _, arrival := range arrivals {
		limit = max(limit, arrival.Limit)
		from, call := audit.senderOf(arrival)
		if call == nil {
			continue
		}
		told, ok := toldAt[from]
		if ok && arrival.Begun.After(told.Add(limitDelay)) && arrival.Begun.After(arrivals[0].Ended.Add(audit.Bounds.SettleTime)) &&
			!audit.disturbed(arrival.Begun, arrival.Begun, from.vm, LinkTo(target)) {
			begun = append(begun, arrival.Begun)
		}
		if !ok && call.Outcome == Complete && call.Answer.TargetID == target {
			toldAt[from] = call.Ended
		}
	}
	slices.SortFunc(begun, time.Time.Compare)
	allowed := limitFactor*limit*limitWindow.Seconds() + limitExtra
	for i, from := range begun {
		audit.report.Checked[promise]++
		end, _ := slices.BinarySearchFunc(begun, from.Add(limitWindow), time.Time.Compare)
		if float64(end-i) > allowed {
			audit.addViolation(promise, arrivals[0].ID, "%s got %d requests in %s, with a limit of %g a second", target, end-i, limitWindow, limit)
			return
		}
	}
}
