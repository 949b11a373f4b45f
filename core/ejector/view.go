package ejector

import (
	"cmp"
	"slices"
	"time"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/timekeeper"
)

// View is what one VM knows of the permits. It isn't safe for concurrent use.
//
// A VM obeys at most one ejection a permit, and only those of the permits that
// its configuration allows; when a floor is raised or targets are removed, the
// permits above the new number are not obeyed any more, whoever holds them.
type View struct {
	groups map[Group][]heard
	leaves map[configurator.Path]heardLeave
	// revision rises with each change.
	revision uint64
}

// heard is a statement with the lease of its ejection on this VM's clocks.
type heard struct {
	statement Statement
	lease     timekeeper.Lease
	// revision is the view's when the statement came.
	revision uint64
}

// Obeyed is an ejection that the VM obeys.
type Obeyed struct {
	Target  configurator.Path
	Left    time.Duration
	Strikes int
	// Holder is the VM whose permit it is.
	Holder string
}

// Take learns a statement that was asked for at the given reading. It reports
// whether the statement is news.
func (view *View) Take(statement Statement, asked timekeeper.Reading) bool {
	if view.groups == nil {
		view.groups = make(map[Group][]heard)
	}
	news := heard{statement: statement, lease: timekeeper.Lease{Start: asked, Duration: statement.Left}}
	group := view.groups[statement.Permit.Group]
	i := slices.IndexFunc(group, func(heard heard) bool { return heard.statement.Permit == statement.Permit })
	if i >= 0 && !statement.newer(group[i].statement) {
		return false
	}
	view.revision++
	news.revision = view.revision
	if i >= 0 {
		group[i] = news
		return true
	}
	group = append(group, news)
	slices.SortFunc(group, func(a, b heard) int { return cmp.Compare(a.statement.Permit.Index, b.statement.Permit.Index) })
	view.groups[statement.Permit.Group] = group
	return true
}

// Revision rises with each change of the view.
func (view *View) Revision() uint64 { return view.revision }

// Obeyed returns the ejections of a group that this VM obeys. Targets that
// leave count against the floor like ejected ones.
func (view *View) Obeyed(service *configurator.ServiceTargets, region string, leaving int, now timekeeper.Reading) []Obeyed {
	allowed := AllowedIn(service, region) - leaving
	var obeyed []Obeyed
	for _, heard := range view.groups[Group{Service: service.Path, Region: region}] {
		if heard.statement.Permit.Index >= allowed {
			break
		}
		if heard.statement.Target == "" || heard.lease.Lapsed(now) || !stands(service, region, heard.statement.Target) {
			continue
		}
		obeyed = append(obeyed, Obeyed{
			Target: heard.statement.Target, Left: heard.lease.Remaining(now), Strikes: heard.statement.Strikes,
			Holder: heard.statement.Holder,
		})
	}
	return obeyed
}

func stands(service *configurator.ServiceTargets, region string, path configurator.Path) bool {
	return slices.ContainsFunc(service.Targets, func(target configurator.Target) bool {
		return target.Path == path && target.Region == region
	})
}

// Since returns the statements that the VM has learned after the given
// revision, with what is left of their leases.
func (view *View) Since(revision uint64, now timekeeper.Reading) []Statement {
	var statements []Statement
	for _, group := range view.groups {
		for _, heard := range group {
			if heard.revision <= revision {
				continue
			}
			statement := heard.statement
			statement.Left = heard.lease.Remaining(now)
			statements = append(statements, statement)
		}
	}
	return statements
}

// Holders returns the addresses of the VMs that hold the group's permits, each
// once.
func (view *View) Holders(group Group) []string {
	var addresses []string
	for _, heard := range view.groups[group] {
		if !slices.Contains(addresses, heard.statement.Address) {
			addresses = append(addresses, heard.statement.Address)
		}
	}
	return addresses
}

// Ejecting returns the groups of which the VM knows ejections that last.
func (view *View) Ejecting(now timekeeper.Reading) []Group {
	var groups []Group
	for group, statements := range view.groups {
		if slices.ContainsFunc(statements, func(heard heard) bool { return heard.statement.Target != "" && !heard.lease.Lapsed(now) }) {
			groups = append(groups, group)
		}
	}
	return groups
}

// Forget drops the groups of services that the table no longer has.
func (view *View) Forget(table *configurator.Table) {
	for group := range view.groups {
		if table.Service(group.Service) == nil {
			delete(view.groups, group)
		}
	}
	for target := range view.leaves {
		if table.Service(target.Parent()) == nil {
			delete(view.leaves, target)
		}
	}
}
