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
	groups map[Group][]received
	leaves map[configurator.Path]receivedLeave
	// revision rises with each change.
	revision uint64
}

// heard is a statement with the lease of its ejection on this VM's clocks.
type received struct {
	statement Statement
	lease     timekeeper.Lease
	// revision is the view's when the statement came.
	revision uint64
}

// Obeyed is an ejection that the VM obeys.
type ActiveEjection struct {
	Target  configurator.Path
	Left    time.Duration
	Strikes int
	// Holder is the VM whose permit it is.
	Holder string
}

// Take learns a statement that was asked for at the given reading. It reports
// whether the statement is news.
func (view *View) Apply(statement Statement, asked timekeeper.Reading) bool {
	if view.groups == nil {
		view.groups = make(map[Group][]received)
	}
	update := received{statement: statement, lease: timekeeper.Lease{Start: asked, Length: statement.Left}}
	group := view.groups[statement.Permit.Group]
	i := slices.IndexFunc(group, func(received received) bool { return received.statement.Permit == statement.Permit })
	if i >= 0 && !statement.supersedes(group[i].statement) {
		return false
	}
	view.revision++
	update.revision = view.revision
	if i >= 0 {
		group[i] = update
		return true
	}
	group = append(group, update)
	slices.SortFunc(group, func(a, b received) int { return cmp.Compare(a.statement.Permit.Index, b.statement.Permit.Index) })
	view.groups[statement.Permit.Group] = group
	return true
}

// Revision rises with each change of the view.
func (view *View) Revision() uint64 { return view.revision }

// Obeyed returns the ejections of a group that this VM obeys. Targets that
// leave count against the floor like ejected ones.
func (view *View) ActiveEjections(service *configurator.ServiceTargets, region string, leaving int, now timekeeper.Reading) []ActiveEjection {
	allowed := AllowedEjectionsIn(service, region) - leaving
	var active []ActiveEjection
	for _, received := range view.groups[Group{Service: service.Path, Region: region}] {
		if received.statement.Permit.Index >= allowed {
			break
		}
		if received.statement.Target == "" || received.lease.Lapsed(now) || !isConfigured(service, region, received.statement.Target) {
			continue
		}
		active = append(active, ActiveEjection{
			Target: received.statement.Target, Left: received.lease.Left(now), Strikes: received.statement.Strikes,
			Holder: received.statement.Holder,
		})
	}
	return active
}

func isConfigured(service *configurator.ServiceTargets, region string, path configurator.Path) bool {
	return slices.ContainsFunc(service.Targets, func(target configurator.Target) bool {
		return target.Path == path && target.Region == region
	})
}

// Since returns the statements that the VM has learned after the given
// revision, with what is left of their leases.
func (view *View) StatementsSince(revision uint64, now timekeeper.Reading) []Statement {
	var statements []Statement
	for _, group := range view.groups {
		for _, received := range group {
			if received.revision <= revision {
				continue
			}
			statement := received.statement
			statement.Left = received.lease.Left(now)
			statements = append(statements, statement)
		}
	}
	return statements
}

// Holders returns the addresses of the VMs that hold the group's permits, each
// once.
func (view *View) Holders(group Group) []string {
	var addresses []string
	for _, received := range view.groups[group] {
		if !slices.Contains(addresses, received.statement.Address) {
			addresses = append(addresses, received.statement.Address)
		}
	}
	return addresses
}

// Ejecting returns the groups of which the VM knows ejections that last.
func (view *View) EjectingGroups(now timekeeper.Reading) []Group {
	var groups []Group
	for group, statements := range view.groups {
		if slices.ContainsFunc(statements, func(received received) bool { return received.statement.Target != "" && !received.lease.Lapsed(now) }) {
			groups = append(groups, group)
		}
	}
	return groups
}

// Forget drops the groups of services that the table no longer has.
func (view *View) Prune(table *configurator.Table) {
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
