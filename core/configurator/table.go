package configurator

import (
	"fmt"
	"iter"
	"strings"
)

// Table is the decoded configuration, made for look-ups on the request path.
// It never changes once it has been compiled.
type Table struct {
	organisations map[Path]*Organisation
	keys          map[KeyHash]*Key
	services      map[Path]*ServiceTargets
	routes        map[string]*Route
	budgets       map[RegionPair][]*Budget
}

// RegionPair is a direction between two regions.
type RegionPair struct {
	From, To string
}

// ServiceTargets is a service with its targets.
type ServiceTargets struct {
	Service
	Targets []Target
}

// Compile decodes the entries and checks the references between them. It
// returns every problem; the table leaves out what has one.
func Compile(entries iter.Seq[Entry]) (*Table, []*Problem) {
	var items Items
	var problems []*Problem
	for entry := range entries {
		problems = append(problems, items.Decode(entry)...)
	}
	table := &Table{
		organisations: make(map[Path]*Organisation, len(items.Organisations)),
		keys:          make(map[KeyHash]*Key, len(items.Keys)),
		services:      make(map[Path]*ServiceTargets, len(items.Services)),
		routes:        make(map[string]*Route, len(items.Routes)),
		budgets:       make(map[RegionPair][]*Budget, len(items.Budgets)),
	}
	problems = append(problems, table.addOwners(&items)...)
	problems = append(problems, table.addKeys(items.Keys)...)
	problems = append(problems, table.addTargets(items.Targets)...)
	problems = append(problems, table.addRoutes(items.Routes)...)
	return table, problems
}

// addOwners adds the items that refer to nothing else.
func (table *Table) addOwners(items *Items) []*Problem {
	for i := range items.Organisations {
		table.organisations[items.Organisations[i].Path] = &items.Organisations[i]
	}
	for _, service := range items.Services {
		table.services[service.Path] = &ServiceTargets{Service: service}
	}
	for i := range items.Budgets {
		budget := &items.Budgets[i]
		pair := RegionPair{From: budget.From, To: budget.To}
		table.budgets[pair] = append(table.budgets[pair], budget)
	}
	return nil
}

func (table *Table) addKeys(keys []Key) []*Problem {
	var problems []*Problem
	for i, key := range keys {
		if table.organisations[key.Organisation] == nil {
			problems = append(problems, missing(key.Path, "organisation", key.Organisation))
			continue
		}
		if twin := table.keys[key.Hash]; twin != nil {
			message := fmt.Sprintf("has the same hash as %s", twin.Path)
			problems = append(problems, &Problem{Path: key.Path, Field: "sha-256", Message: message})
			continue
		}
		table.keys[key.Hash] = &keys[i]
	}
	return problems
}

func (table *Table) addTargets(targets []Target) []*Problem {
	var problems []*Problem
	for _, target := range targets {
		service := table.services[target.Service]
		if service == nil {
			problems = append(problems, missing(target.Path, "service", target.Service))
			continue
		}
		service.Targets = append(service.Targets, target)
	}
	return problems
}

func (table *Table) addRoutes(routes []Route) []*Problem {
	var problems []*Problem
	for i, route := range routes {
		if table.services[route.Service] == nil {
			problems = append(problems, missing(route.Path, "service", route.Service))
			continue
		}
		if twin := table.routes[route.Prefix]; twin != nil {
			message := fmt.Sprintf("is the prefix of %s too", twin.Path)
			problems = append(problems, &Problem{Path: route.Path, Field: "prefix", Value: route.Prefix, Message: message})
			continue
		}
		for _, organisation := range route.Organisations {
			if table.organisations[organisation] == nil {
				problems = append(problems, missing(route.Path, "organisations", organisation))
			}
		}
		table.routes[route.Prefix] = &routes[i]
	}
	return problems
}

func missing(path Path, field string, referred Path) *Problem {
	return &Problem{Path: path, Field: field, Value: string(referred), Message: "refers to an entry that does not exist"}
}

// Organisation returns the organisation at the path, or nil.
func (table *Table) Organisation(path Path) *Organisation { return table.organisations[path] }

// Key returns the key with the given hash, or nil.
func (table *Table) Key(hash KeyHash) *Key { return table.keys[hash] }

// Service returns the service at the path with its targets, or nil.
func (table *Table) Service(path Path) *ServiceTargets { return table.services[path] }

// Services returns all services in no order.
func (table *Table) Services() iter.Seq[*ServiceTargets] {
	return func(yield func(*ServiceTargets) bool) {
		for _, service := range table.services {
			if !yield(service) {
				return
			}
		}
	}
}

// Organisations returns all organisations in no order.
func (table *Table) Organisations() iter.Seq[*Organisation] {
	return func(yield func(*Organisation) bool) {
		for _, organisation := range table.organisations {
			if !yield(organisation) {
				return
			}
		}
	}
}

// AllBudgets returns all budgets in no order.
func (table *Table) AllBudgets() iter.Seq[*Budget] {
	return func(yield func(*Budget) bool) {
		for _, budgets := range table.budgets {
			for _, budget := range budgets {
				if !yield(budget) {
					return
				}
			}
		}
	}
}

// Budgets returns the budgets for traffic from one region to another.
func (table *Table) Budgets(pair RegionPair) []*Budget { return table.budgets[pair] }

// Route returns the route with the longest prefix that the request's path
// lies in, or nil.
func (table *Table) Route(requestPath string) *Route {
	for prefix := requestPath; len(prefix) > 1; {
		if route := table.routes[prefix]; route != nil {
			return route
		}
		prefix = prefix[:max(0, strings.LastIndexByte(prefix, '/'))]
	}
	return table.routes["/"]
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
