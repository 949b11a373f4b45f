package configurator

import "fmt"

// references returns the problems of entries that refer to missing ones, and of
// keys and routes that conflict with each other.
func (table *Table) references() []*Problem {
	var problems []*Problem
	for keys := range table.keys.values() {
		problems = append(problems, table.keyProblems(keys)...)
	}
	for targets := range table.targets.values() {
		if table.Service(targets[0].Service) != nil {
			continue
		}
		for _, target := range targets {
			problems = append(problems, missingReference(target.Path, "service", target.Service))
		}
	}
	for routes := range table.routes.values() {
		problems = append(problems, table.routeProblems(routes)...)
	}
	return problems
}

func (table *Table) keyProblems(keys []*Key) []*Problem {
	var problems []*Problem
	effective := table.Key(keys[0].Hash)
	for _, key := range keys {
		switch {
		case table.withdrawal(key) != nil:
			message := fmt.Sprintf("has been withdrawn, see %s; give a new key", table.withdrawal(key).Path)
			problems = append(problems, &Problem{Path: key.Path, Field: "sha-256", Message: message})
		case table.Organisation(key.Organisation) == nil:
			problems = append(problems, missingReference(key.Path, "organisation", key.Organisation))
		case key != effective:
			message := fmt.Sprintf("has the same hash as %s", effective.Path)
			problems = append(problems, &Problem{Path: key.Path, Field: "sha-256", Message: message})
		}
	}
	return problems
}

func (table *Table) routeProblems(routes []*Route) []*Problem {
	var problems []*Problem
	effective := table.routeWithPrefix(routes[0].Prefix)
	for _, route := range routes {
		switch {
		case table.Service(route.Service) == nil:
			problems = append(problems, missingReference(route.Path, "service", route.Service))
		case route != effective:
			message := fmt.Sprintf("is the prefix of %s too", effective.Path)
			problems = append(problems, &Problem{Path: route.Path, Field: "prefix", Value: route.Prefix, Message: message})
		default:
			problems = append(problems, table.organisationProblems(route)...)
		}
	}
	return problems
}

func (table *Table) organisationProblems(route *Route) []*Problem {
	var problems []*Problem
	for _, organisation := range route.Organisations {
		if table.Organisation(organisation) == nil {
			problems = append(problems, missingReference(route.Path, "organisations", organisation))
		}
	}
	return problems
}

func missingReference(path Path, field string, referred Path) *Problem {
	return &Problem{Path: path, Field: field, Value: string(referred), Message: "refers to an entry that does not exist"}
}
