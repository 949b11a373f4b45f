package prioritizer

import (
	"cmp"
	"slices"

	"godwitramp.example/core/indexer"
)

// Rank orders requests: first by the priority of their organisation, then by that of their route. 0 is the most urgent.
type Rank struct{ Organisation, Route int }

// Compare returns a negative number if the rank is more urgent than the other.
func (rank Rank) Compare(other Rank) int {
	return cmp.Or(cmp.Compare(rank.Organisation, other.Organisation), cmp.Compare(rank.Route, other.Route))
}

// RankOf returns the rank of a request. The organisation is nil for requests without a key. A missing priority counts
// as 0.
func RankOf(route *indexer.Route, organisation *indexer.Organisation) Rank {
	rank := Rank{Route: route.Priority}
	if organisation != nil && organisation.HasPriority {
		rank.Organisation = organisation.Priority
	}
	return rank
}

// Ranks returns the ranks that the requests of each service may have, the most urgent first.
func Ranks(configuration *indexer.Configuration) map[string][]Rank {
	keyed := make(map[int]bool)
	for i := range configuration.Organisations {
		keyed[RankOf(&indexer.Route{}, &configuration.Organisations[i]).Organisation] = true
	}
	ranks := make(map[string][]Rank)
	for i := range configuration.Routes {
		route := &configuration.Routes[i]
		for _, share := range route.Shares {
			for organisation := range keyed {
				ranks[share.Service] = append(ranks[share.Service], Rank{Organisation: organisation, Route: route.Priority})
			}
			if route.Open || len(keyed) == 0 {
				ranks[share.Service] = append(ranks[share.Service], Rank{Route: route.Priority})
			}
		}
	}
	for service := range ranks {
		slices.SortFunc(ranks[service], Rank.Compare)
		ranks[service] = slices.Compact(ranks[service])
	}
	return ranks
}
