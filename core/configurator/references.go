package configurator

import "fmt"

// references returns the problems of entries that refer to missing ones or
// stand in each other's way.
func (table *Table) references() []*Problem {
	var problems []*Problem
	for twins := range table.keys.values() {
		problems = append(problems, table.keyProblems(twins)...)
	}
	for targets := range table.targets.values() {
		if table.Service(targets[0].Service) != nil {
			continue
		}
		for _, target := range targets {
			problems = append(problems, missing(target.Path, "service", target.Service))
		}
	}
	for twins := range table.routes.values() {
		problems = append(problems, table.routeProblems(twins)...)
	}
	return problems
}

func (table *Table) keyProblems(twins []*Key) []*Problem {
	var problems []*Problem
	chosen := table.Key(twins[0].Hash)
	for _, key := range twins {
		switch {
		case table.withdrawal(key) != nil:
			message := fmt.Sprintf("has been withdrawn, see %s; give a new key", table.withdrawal(key).Path)
			problems = append(problems, &Problem{Path: key.Path, Field: "sha-256", Message: message})
		case table.Organisation(key.Organisation) == nil:
			problems = append(problems, missing(key.Path, "organisation", key.Organisation))
		case key != chosen:
			message := fmt.Sprintf("has the same hash as %s", chosen.Path)
			problems = append(problems, &Problem{Path: key.Path, Field: "sha-256", Message: message})
		}
	}
	return problems
}

func (table *Table) routeProblems(twins []*Route) []*Problem {
	var problems []*Problem
	chosen := table.routeOf(twins[0].Prefix)
	for _, route := range twins {
		switch {
		case table.Service(route.Service) == nil:
			problems = append(problems, missing(route.Path, "service", route.Service))
		case route != chosen:
			message := fmt.Sprintf("is the prefix of %s too", chosen.Path)
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
			problems = append(problems, missing(route.Path, "organisations", organisation))
		}
	}
	return problems
}

func missing(path Path, field string, referred Path) *Problem {
	return &Problem{Path: path, Field: field, Value: string(referred), Message: "refers to an entry that does not exist"}
}
