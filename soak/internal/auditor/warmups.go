package auditor

import (
	"fmt"
	"slices"
	"time"

	"godwitramp.example/platform/faker"
)

// warmups checks that no target gets more than Bounds.ColdRequests in a second of those that arrive while it is cold,
// from all VMs together and whatever is disturbed. The violation lists the requests of the second with the most.
func (audit *audit) warmups(promise string) {
	spans := make(map[string][]ColdSpan)
	for _, span := range audit.ColdSpans {
		spans[span.TargetID] = append(spans[span.TargetID], span)
	}
	for target, spans := range spans {
		cold := slices.DeleteFunc(slices.Clone(audit.byTarget[target]), func(arrival *faker.Arrival) bool {
			return arrival.Status == 421 || coldSince(spans, arrival.Begun).IsZero()
		})
		slices.SortFunc(cold, func(a, b *faker.Arrival) int { return a.Begun.Compare(b.Begun) })
		audit.report.Checked[promise] += len(cold)
		var most []*faker.Arrival
		for i, first := range cold {
			end, _ := slices.BinarySearchFunc(cold, first.Begun.Add(time.Second), func(arrival *faker.Arrival, at time.Time) int {
				return arrival.Begun.Compare(at)
			})
			if end-i > len(most) {
				most = cold[i:end]
			}
		}
		if len(most) > audit.Bounds.ColdRequests {
			detail := ""
			for _, arrival := range most {
				detail += fmt.Sprintf(" %s after %s", audit.nameOfSender(arrival), arrival.Begun.Sub(coldSince(spans, arrival.Begun)).Round(time.Millisecond))
			}
			audit.addViolation(promise, most[0].ID, "%s got %d requests in a second while it was cold, %d are allowed, from the time at which it became so by%s",
				target, len(most), audit.Bounds.ColdRequests, detail)
		}
	}
}

// coldSince returns when the last of the spans that include a time began, zero if none does.
func coldSince(spans []ColdSpan, at time.Time) time.Time {
	var since time.Time
	for _, span := range spans {
		if !at.Before(span.From) && at.Before(span.Until) && span.From.After(since) {
			since = span.From
		}
	}
	return since
}
