package configurator

import (
	"iter"
	"strings"
)

// Table is the decoded configuration, indexed for look-ups while requests are
// handled. It is immutable; Update returns the next one.
//
// An entry that refers to a missing one is ignored until that one exists. Of
// several keys with the same hash, or routes with the same prefix, the one with
// the smallest path is used.
type Table struct {
	organisations shardedMap[Path, *Organisation]
	keys          shardedMap[KeyHash, []*Key]
	withdrawals   shardedMap[KeyHash, []*Withdrawal]
	services      shardedMap[Path, *Service]
	targets       shardedMap[Path, []Target]
	// joinedServices holds each service together with its targets.
	joinedServices shardedMap[Path, *ServiceTargets]
	routes         shardedMap[string, []*Route]
	budgets        shardedMap[RegionPair, []*Budget]
}

// RegionPair is an ordered pair of regions.
type RegionPair struct {
	From, To string
}

// ServiceTargets is a service with its targets, sorted by path.
type ServiceTargets struct {
	Service
	Targets []Target
}

// Compile decodes the entries and checks the references between them. It returns
// all problems; entries that don't decode are left out of the table.
func Compile(entries iter.Seq[Entry]) (*Table, []*Problem) {
	edit := new(Table).edit()
	for entry := range entries {
		edit.put(entry)
	}
	table := edit.done()
	problems := append(edit.problems, table.references()...)
	sortProblems(problems)
	return table, problems
}

// Update returns the table after a change. The state must be the one that the
// table was made from, before the change. The problems are those of decoding the
// entries that the change puts; references are not checked.
func (table *Table) Update(state *State, change Change) (*Table, []*Problem) {
	edit := table.edit()
	for _, path := range change.Deletes {
		edit.remove(state, path)
	}
	for _, entry := range change.Puts {
		edit.remove(state, entry.Path)
	}
	for _, entry := range lastPutPerPath(change.Puts) {
		edit.put(entry)
	}
	sortProblems(edit.problems)
	return edit.done(), edit.problems
}

// Organisation returns the organisation at the path, or nil.
func (table *Table) Organisation(path Path) *Organisation {
	organisation, _ := table.organisations.get(path)
	return organisation
}

// Key returns the key with the given hash, or nil if there is none, if its
// organisation is missing, or if its team has withdrawn it.
func (table *Table) Key(hash KeyHash) *Key {
	keys, _ := table.keys.get(hash)
	for _, key := range keys {
		if table.Organisation(key.Organisation) != nil && table.withdrawal(key) == nil {
			return key
		}
	}
	return nil
}

// withdrawal returns the withdrawal of the key by its own team, or nil.
func (table *Table) withdrawal(key *Key) *Withdrawal {
	withdrawals, _ := table.withdrawals.get(key.Hash)
	for _, withdrawal := range withdrawals {
		if withdrawal.Path.Team() == key.Path.Team() {
			return withdrawal
		}
	}
	return nil
}

// Service returns the service at the path with its targets, or nil.
func (table *Table) Service(path Path) *ServiceTargets {
	service, _ := table.joinedServices.get(path)
	return service
}

// Services returns all services in no order.
func (table *Table) Services() iter.Seq[*ServiceTargets] { return table.joinedServices.values() }

// Organisations returns all organisations in no order.
func (table *Table) Organisations() iter.Seq[*Organisation] { return table.organisations.values() }

// Budgets returns the budgets for traffic from one region to another, sorted
// by path.
func (table *Table) Budgets(pair RegionPair) []*Budget {
	budgets, _ := table.budgets.get(pair)
	return budgets
}

// AllBudgets returns all budgets in no order.
func (table *Table) AllBudgets() iter.Seq[*Budget] {
	return func(yield func(*Budget) bool) {
		for budgets := range table.budgets.values() {
			for _, budget := range budgets {
				if !yield(budget) {
					return
				}
			}
		}
	}
}

// Route returns the route with the longest prefix of the request's path, in
// whole parts of the path, or nil.
func (table *Table) Route(requestPath string) *Route {
	for prefix := requestPath; len(prefix) > 1; {
		if route := table.routeWithPrefix(prefix); route != nil {
			return route
		}
		prefix = prefix[:max(0, strings.LastIndexByte(prefix, '/'))]
	}
	return table.routeWithPrefix("/")
}

// routeWithPrefix returns the route with exactly this prefix whose service
// exists, or nil.
func (table *Table) routeWithPrefix(prefix string) *Route {
	routes, _ := table.routes.get(prefix)
	for _, route := range routes {
		if table.Service(route.Service) != nil {
			return route
		}
	}
	return nil
}

// MayUse reports whether the organisation may use the route.
func (route *Route) MayUse(organisation Path) bool {
	if len(route.Organisations) == 0 {
		return organisation.Team() == route.Path.Team()
	}
	for _, allowed := range route.Organisations {
		if allowed == organisation {
			return true
		}
	}
	return false
}
