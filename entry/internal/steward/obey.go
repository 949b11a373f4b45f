package steward

import (
	"cmp"
	"godwitramp.example/core/configurator"
	"godwitramp.example/core/ejector"
	"godwitramp.example/core/router"
	"godwitramp.example/core/timekeeper"
	"slices"
)

// obeyAll tells the router about every group with ejections, so that a lease
// that ended while the VM was paused ends there too.
func (steward *Steward) obeyAll(now timekeeper.Reading) {
	for group := range steward.obeyed {
		steward.obey(group, now)
	}
	for _, group := range steward.view.EjectingGroups(now) {
		if !steward.obeyed[group] {
			steward.obey(group, now)
		}
	}
}

// obey tells the router the ejections of the group's service, of all regions.
func (steward *Steward) obey(group ejector.Group, now timekeeper.Reading) {
	if steward.table == nil {
		return
	}
	service := steward.table.Service(group.Service)
	if service == nil {
		delete(steward.obeyed, group)
		return
	}
	var ejections []router.Ejection
	at := steward.Clock.Now()
	for _, region := range regionsOf(service) {
		for _, obeyed := range steward.obeyedIn(service, region, now) {
			ejections = append(ejections, router.Ejection{Target: obeyed.Target, Until: at + obeyed.Left})
		}
	}
	if len(ejections) > 0 {
		steward.obeyed[group] = true
	} else {
		delete(steward.obeyed, group)
	}
	steward.Router.SetEjections(service, ejections, at)
}

func (steward *Steward) obeyedIn(service *configurator.ServiceTargets, region string, now timekeeper.Reading) []ejector.ActiveEjection {
	leaving := len(steward.view.Leaving(service, region, now))
	return steward.view.ActiveEjections(service, region, leaving, now)
}

// Obeyed returns the ejections that this VM obeys, sorted by target.
func (steward *Steward) Obeyed() []ejector.ActiveEjection {
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	now := steward.Clock.Reading()
	var all []ejector.ActiveEjection
	for group := range steward.obeyed {
		if service := steward.table.Service(group.Service); service != nil {
			all = append(all, steward.obeyedIn(service, group.Region, now)...)
		}
	}
	slices.SortFunc(all, func(a, b ejector.ActiveEjection) int { return cmp.Compare(a.Target, b.Target) })
	return all
}

// obeyedTargets returns the targets of a group that this VM leaves out.
func (steward *Steward) obeyedTargets(group ejector.Group, now timekeeper.Reading) []configurator.Path {
	if steward.table == nil || steward.table.Service(group.Service) == nil {
		return nil
	}
	var targets []configurator.Path
	for _, obeyed := range steward.obeyedIn(steward.table.Service(group.Service), group.Region, now) {
		targets = append(targets, obeyed.Target)
	}
	return targets
}

func (steward *Steward) obeyLeave(leave ejector.Leave) {
	if steward.table == nil {
		return
	}
	if service := steward.table.Service(leave.Target.Parent()); service != nil {
		now := steward.Clock.Now()
		steward.Router.MarkLeaving(service, leave.Target, now+leave.Left, now)
	}
}

func regionsOf(service *configurator.ServiceTargets) []string {
	var regions []string
	seen := make(map[string]bool)
	for _, target := range service.Targets {
		if !seen[target.Region] {
			seen[target.Region] = true
			regions = append(regions, target.Region)
		}
	}
	return regions
}
