package configurator

import (
	"iter"
	"strings"
)

// Table is the decoded configuration, made for look-ups on the request path.
// It never changes; Update makes the next one.
//
// An entry whose reference leads nowhere is left out until the entry that it
// refers to exists. Of several keys with one hash, or routes with one prefix,
// the one with the smallest path counts.
type Table struct {
	organisations shards[Path, *Organisation]
	keys          shards[KeyHash, []*Key]
	withdrawals   shards[KeyHash, []*Withdrawal]
	services      shards[Path, *Service]
	targets       shards[Path, []Target]
	// joined holds each service together with its targets.
	joined  shards[Path, *ServiceTargets]
	routes  shards[string, []*Route]
	budgets shards[RegionPair, []*Budget]
}

// RegionPair is a direction between two regions.
type RegionPair struct {
	From, To string
}

// ServiceTargets is a service with its targets, sorted by path.
type ServiceTargets struct {
	Service
	Targets []Target
}

// Compile decodes the entries and checks the references between them. It
// returns every problem; the table leaves out what has one.
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
// table was made from, without the change. The problems are those of the
// entries that the change puts, references not included.
func (table *Table) Update(state *State, change Change) (*Table, []*Problem) {
	edit := table.edit()
	for _, path := range change.Deletes {
		edit.remove(state, path)
	}
	for _, entry := range change.Puts {
		edit.remove(state, entry.Path)
	}
	for _, entry := range lastPuts(change.Puts) {
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

// Key returns the key with the given hash, or nil if there is none or its
// team has withdrawn it.
func (table *Table) Key(hash KeyHash) *Key {
	twins, _ := table.keys.get(hash)
	for _, key := range twins {
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
	service, _ := table.joined.get(path)
	return service
}

// Services returns all services in no order.
func (table *Table) Services() iter.Seq[*ServiceTargets] { return table.joined.values() }

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

// Route returns the route with the longest prefix that the request's path
// lies in, or nil.
func (table *Table) Route(requestPath string) *Route {
	for prefix := requestPath; len(prefix) > 1; {
		if route := table.routeOf(prefix); route != nil {
			return route
		}
		prefix = prefix[:max(0, strings.LastIndexByte(prefix, '/'))]
	}
	return table.routeOf("/")
}

// routeOf returns the route with exactly this prefix, or nil.
func (table *Table) routeOf(prefix string) *Route {
	twins, _ := table.routes.get(prefix)
	for _, route := range twins {
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
