package auditor

import (
	"fmt"
	"slices"
	"strings"
	"time"

	"godwitramp.example/platform/faker"
)

// After a request has crashed crashesAllowed targets it may be sent lateSendsAllowed times more,
// later than Bounds.SettleTime after the last of those.
const (
	crashesAllowed   = 3
	lateSendsAllowed = 3
)

// crashingRequests checks that a request that crashes targets isn't sent to them on and on. Sends of
// VMs that were disturbed don't count.
func (audit *audit) crashingRequests(promise string) {
	byPath := make(map[string][]*faker.Arrival)
	for i := range audit.Arrivals {
		if arrival := &audit.Arrivals[i]; strings.Contains(arrival.Path, faker.CrashPath) {
			byPath[arrival.Path] = append(byPath[arrival.Path], arrival)
		}
	}
	for path, arrivals := range byPath {
		slices.SortFunc(arrivals, func(a, b *faker.Arrival) int { return a.Ended.Compare(b.Ended) })
		crashes, late, crashed, senders := 0, 0, "", ""
		var last time.Time
		for _, arrival := range arrivals {
			if arrival.Crashed && crashes < crashesAllowed {
				crashes, last = crashes+1, arrival.Ended
				crashed += fmt.Sprintf(" %s of %s", arrival.TargetID, arrival.ID)
			}
			audit.report.Checked[promise]++
			from, call := audit.senderOf(arrival)
			if crashes == crashesAllowed && arrival.Begun.After(last.Add(audit.Bounds.SettleTime)) && call != nil &&
				audit.undisturbed(arrival.Begun, arrival.Begun, call.VM, from.vm) {
				late++
				senders += fmt.Sprintf(" %s/%d after %s with %s", from.vm, from.start, arrival.Begun.Sub(last).Round(time.Millisecond), arrival.ID)
			}
		}
		if late > lateSendsAllowed {
			audit.addViolation(promise, arrivals[len(arrivals)-1].ID, "%s was sent %d times later than %s after it had crashed %d targets (%s), by%s",
				path, late, audit.Bounds.SettleTime, crashesAllowed, strings.TrimSpace(crashed), senders)
		}
	}
}
