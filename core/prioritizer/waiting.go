package prioritizer

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Ticket is a request at a service.
type Ticket struct {
	Service string
	Rank    Rank
	// Organisation is empty for requests without a key.
	Organisation string
	// Bytes is the memory that the request holds while it waits.
	Bytes int
	// MaxWait is how long the request may wait and still meet its objective.
	MaxWait time.Duration
	// Notify is called once the verdict on a ticket that waits has come, if it is set. It must not block.
	Notify func()

	// Verdict is the latest verdict, and Factor what decided it.
	Verdict Verdict
	Factor  Factor
	// Waited is the time that the ticket has waited.
	Waited time.Duration
	// RetryAfter is when the request should come again, if it is refused.
	RetryAfter time.Duration
	// Passed is the number of requests of the VM that were sent to the service while the ticket waited.
	Passed int
	// Seen is the load when it was decided.
	Seen Load

	enteredAt time.Duration
}

// remove removes a waiting ticket and reports whether it waited.
func (service *service) remove(ticket *Ticket) bool {
	i := slices.Index(service.waiting, ticket)
	if i < 0 {
		return false
	}
	service.waiting = slices.Delete(service.waiting, i, i+1)
	return true
}

// next returns the waiting ticket that is sent next among those of a rank: the first of the organisation to which the VM
// has sent the fewest requests lately, so that one far above its usual delays itself first.
func (service *service) next(rank Rank, now time.Duration) *Ticket {
	var best *Ticket
	for _, ticket := range service.waiting {
		if ticket.Rank == rank && (best == nil || service.usage(ticket, now) < service.usage(best, now)) {
			best = ticket
		}
	}
	return best
}

// usageTime is the time over which the requests of organisations are compared. A VM gets few requests, so that those in
// flight or waiting at one moment don't show who sends many.
const usageTime = 10 * time.Second

// usage is the number of requests of an organisation that were sent, each with a weight that decreases with its age.
type usage struct {
	requests float64
	updated  time.Duration
}

func (usage *usage) at(now time.Duration) float64 {
	return usage.requests * math.Exp(-float64(now-usage.updated)/float64(usageTime))
}

// usage returns the usage of the ticket's organisation in its rank.
func (service *service) usage(ticket *Ticket, now time.Duration) float64 {
	if known := service.organisations[organisation{ticket.Rank, ticket.Organisation}]; known != nil {
		return known.at(now)
	}
	return 0
}

// recordUse counts a request that is sent.
func (service *service) recordUse(ticket *Ticket, now time.Duration) {
	service.organisations[organisation{ticket.Rank, ticket.Organisation}] = &usage{requests: service.usage(ticket, now) + 1, updated: now}
	if len(service.organisations) > maxOrganisations {
		maps.DeleteFunc(service.organisations, func(_ organisation, usage *usage) bool { return usage.at(now) < 0.5 })
	}
	if len(service.organisations) > 2*maxOrganisations {
		clear(service.organisations)
	}
}

// ahead returns the number of waiting tickets that are at least as urgent as a new one, and of these the number that
// are sent before it.
func (service *service) ahead(added *Ticket, now time.Duration) (asUrgent, before int) {
	for _, ticket := range service.waiting {
		order := ticket.Rank.Compare(added.Rank)
		if order <= 0 {
			asUrgent++
		}
		if order < 0 || order == 0 && service.usage(ticket, now) <= service.usage(added, now) {
			before++
		}
	}
	return asUrgent, before
}

// evictee returns the waiting ticket that has to leave for a new one, or nil if the new one is to be turned away: the
// newest of a less urgent rank, or else of the organisation of its rank with the most waiting, if it has at least two
// more.
func (service *service) evictee(added *Ticket) *Ticket {
	counts := make(map[string]int)
	var worst *Ticket
	for _, ticket := range service.waiting {
		if ticket.Rank == added.Rank {
			counts[ticket.Organisation]++
		}
		if ticket.Rank.Compare(added.Rank) > 0 && (worst == nil || ticket.Rank.Compare(worst.Rank) >= 0) {
			worst = ticket
		}
	}
	if worst != nil {
		return worst
	}
	for _, ticket := range service.waiting {
		if ticket.Rank != added.Rank || counts[ticket.Organisation] < counts[added.Organisation]+2 {
			continue
		}
		if worst == nil || counts[ticket.Organisation] >= counts[worst.Organisation] {
			worst = ticket
		}
	}
	return worst
}
