package ejector

import (
	"cmp"
	"slices"
	"time"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/timekeeper"
)

// View is one VM's knowledge of the permits and of the targets that leave. It isn't
// safe for concurrent use.
//
// A VM applies at most one ejection per permit, and only for the permits that its
// configuration allows. When the floor is raised or targets are removed, permits
// with an index above the new number no longer apply, whoever holds them.
type View struct {
	groups map[Group][]receivedStatement
	leaves map[configurator.Path]receivedLeave
	// revision increases with each change.
	revision uint64
}

// receivedStatement is a statement with the lease of its ejection by this VM's
// clocks.
type receivedStatement struct {
	statement Statement
	lease     timekeeper.Lease
	// revision is the revision of the view after the statement was recorded.
	revision uint64
}

// ActiveEjection is an ejection that the VM applies.
type ActiveEjection struct {
	Target  configurator.Path
	Left    time.Duration
	Strikes int
	// Holder is the VM that holds the permit.
	Holder string
}

// Apply records a statement that was requested at the given reading. It reports
// whether the statement is new.
func (view *View) Apply(statement Statement, sent timekeeper.Reading) bool {
	if view.groups == nil {
		view.groups = make(map[Group][]receivedStatement)
	}
	update := receivedStatement{statement: statement, lease: timekeeper.Lease{Start: sent, Duration: statement.Left}}
	group := view.groups[statement.Permit.Group]
	i := slices.IndexFunc(group, func(received receivedStatement) bool { return received.statement.Permit == statement.Permit })
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
	slices.SortFunc(group, func(a, b receivedStatement) int {
		return cmp.Compare(a.statement.Permit.Index, b.statement.Permit.Index)
	})
	view.groups[statement.Permit.Group] = group
	return true
}

// Revision returns a number that increases with each change of the view.
func (view *View) Revision() uint64 { return view.revision }

// ActiveEjections returns the ejections of a group that this VM applies. Leaving
// targets count against the floor like ejected ones.
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
			Target: received.statement.Target, Left: received.lease.Remaining(now), Strikes: received.statement.Strikes,
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

// StatementsSince returns the statements recorded after the given revision, with the
// remaining time of their leases.
func (view *View) StatementsSince(revision uint64, now timekeeper.Reading) []Statement {
	var statements []Statement
	for _, group := range view.groups {
		for _, received := range group {
			if received.revision <= revision {
				continue
			}
			statement := received.statement
			statement.Left = received.lease.Remaining(now)
			statements = append(statements, statement)
		}
	}
	return statements
}

// Holders returns the distinct addresses of the VMs that hold the group's permits.
func (view *View) Holders(group Group) []string {
	var addresses []string
	for _, received := range view.groups[group] {
		if !slices.Contains(addresses, received.statement.Address) {
			addresses = append(addresses, received.statement.Address)
		}
	}
	return addresses
}

// EjectingGroups returns the groups with ejections whose leases are valid.
func (view *View) EjectingGroups(now timekeeper.Reading) []Group {
	var groups []Group
	for group, statements := range view.groups {
		if slices.ContainsFunc(statements, func(received receivedStatement) bool {
			return received.statement.Target != "" && !received.lease.Lapsed(now)
		}) {
			groups = append(groups, group)
		}
	}
	return groups
}

// Prune removes the groups and leaves of services that the table no longer has.
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
