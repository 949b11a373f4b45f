package steward

import (
	"cmp"
	"godwitramp.example/core/configurator"
	"godwitramp.example/core/ejector"
	"godwitramp.example/core/router"
	"godwitramp.example/core/timekeeper"
	"slices"
)

// applyAllEjections updates the router for every group with ejections. The
// router thus drops an ejection whose lease ended while the VM was paused.
func (steward *Steward) applyAllEjections(now timekeeper.Reading) {
	for group := range steward.ejecting {
		steward.applyEjections(group, now)
	}
	for _, group := range steward.view.EjectingGroups(now) {
		if !steward.ejecting[group] {
			steward.applyEjections(group, now)
		}
	}
}

// applyEjections sets the router's ejections for the group's service, in all
// regions.
func (steward *Steward) applyEjections(group ejector.Group, now timekeeper.Reading) {
	if steward.table == nil {
		return
	}
	service := steward.table.Service(group.Service)
	if service == nil {
		delete(steward.ejecting, group)
		return
	}
	var ejections []router.Ejection
	at := steward.Clock.Now()
	for _, region := range regionsOf(service) {
		for _, active := range steward.activeEjections(service, region, now) {
			ejections = append(ejections, router.Ejection{Target: active.Target, Until: at + active.Left})
		}
	}
	if len(ejections) > 0 {
		steward.ejecting[group] = true
	} else {
		delete(steward.ejecting, group)
	}
	steward.Router.SetEjections(service, ejections, at)
}

func (steward *Steward) activeEjections(service *configurator.ServiceTargets, region string, now timekeeper.Reading) []ejector.ActiveEjection {
	leaving := len(steward.view.Leaving(service, region, now))
	return steward.view.ActiveEjections(service, region, leaving, now)
}

// ActiveEjections returns the ejections that this VM applies, sorted by target.
func (steward *Steward) ActiveEjections() []ejector.ActiveEjection {
	steward.mutex.Lock()
	defer steward.mutex.Unlock()
	now := steward.Clock.Reading()
	var all []ejector.ActiveEjection
	for group := range steward.ejecting {
		if service := steward.table.Service(group.Service); service != nil {
			all = append(all, steward.activeEjections(service, group.Region, now)...)
		}
	}
	slices.SortFunc(all, func(a, b ejector.ActiveEjection) int { return cmp.Compare(a.Target, b.Target) })
	return all
}

// ejectedTargets returns the targets of a group that this VM excludes.
func (steward *Steward) ejectedTargets(group ejector.Group, now timekeeper.Reading) []configurator.Path {
	if steward.table == nil || steward.table.Service(group.Service) == nil {
		return nil
	}
	var targets []configurator.Path
	for _, active := range steward.activeEjections(steward.table.Service(group.Service), group.Region, now) {
		targets = append(targets, active.Target)
	}
	return targets
}

func (steward *Steward) applyLeave(leave ejector.Leave) {
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
