package ejector

import (
	"slices"
	"time"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/timekeeper"
)

const (
	// Holders of higher permits wait so that two don't eject one target.
	staggerStep = 150 * time.Millisecond
	// A target whose health endpoint fails stays out for this much longer.
	unhealthyExtension = 2 * time.Second
)

// Steward decides for the permits of one group that a VM holds. It isn't safe
// for concurrent use.
type Steward struct {
	Group    Group
	Detector Detector

	service       *configurator.ServiceTargets
	permits       []*Permit
	ejectionTimes EjectionTimes
	// pending is since when a target has been condemned.
	outlierSince map[configurator.Path]time.Duration
	renewedAt    time.Duration
}

// Follow takes over a declaration of the service.
func (steward *Steward) Configure(service *configurator.ServiceTargets, now time.Duration) {
	steward.service = service
	steward.Detector.Region = steward.Group.Region
	steward.Detector.Configure(service, now)
	steward.ejectionTimes.Prune(service, steward.Group.Region)
}

// Hold adds a permit.
func (steward *Steward) AddPermit(permit *Permit) {
	steward.permits = append(steward.permits, permit)
	slices.SortFunc(steward.permits, func(a, b *Permit) int { return a.ID.Index - b.ID.Index })
}

// Drop removes a permit.
func (steward *Steward) RemovePermit(permit *Permit) {
	steward.permits = slices.DeleteFunc(steward.permits, func(held *Permit) bool { return held == permit })
}

// Permits returns the permits held, the lowest first.
func (steward *Steward) Permits() []*Permit { return steward.permits }

// Condition is what the steward needs to know of the fleet.
type GroupState struct {
	View *View
	// Leaving are targets of the group that say themselves that they leave.
	Leaving []configurator.Path
	// Sick are targets whose health endpoint fails.
	Unhealthy []configurator.Path
}

// Decide ends stays, ejects what the evidence condemns as far as permits
// allow, and renews. It returns the statements that are new.
func (steward *Steward) Decide(state GroupState, now timekeeper.Reading) []Statement {
	before := steward.sequences()
	steward.endEjections(state, now)
	steward.eject(state, now)
	if now.Mono-steward.renewedAt >= RenewPeriod {
		steward.renewedAt = now.Mono
		for _, permit := range steward.permits {
			permit.RenewEjection(now)
		}
	}
	var changed []Statement
	for i, permit := range steward.permits {
		if permit.sequence != before[i] && permit.Held(now) {
			changed = append(changed, permit.Statement(now))
		}
	}
	return changed
}

func (steward *Steward) sequences() []uint64 {
	var sequences []uint64
	for _, permit := range steward.permits {
		sequences = append(sequences, permit.sequence)
	}
	return sequences
}

// endStays lets targets return whose stay has passed, that are out twice, or
// that the configuration doesn't let stay out.
func (steward *Steward) endEjections(state GroupState, now timekeeper.Reading) {
	allowedEjections := steward.allowedEjections(state)
	for _, permit := range steward.permits {
		target := permit.Target()
		if target == "" {
			continue
		}
		invalid := permit.ID.Index >= allowedEjections || !steward.isServing(target) ||
			slices.Contains(state.Leaving, target) || steward.isDuplicate(permit, state.View, now)
		if !invalid && !permit.EjectionOver(now) {
			continue
		}
		if !invalid && slices.Contains(state.Unhealthy, target) {
			permit.ExtendEjection(unhealthyExtension, now)
			continue
		}
		permit.EndEjection()
		steward.ejectionTimes.RecordEnd(target, permit.strikes, now.Mono)
		steward.Detector.Clear(target, now.Mono)
	}
}

// allowed returns how many targets of the group may be out.
func (steward *Steward) allowedEjections(state GroupState) int {
	return AllowedEjectionsIn(steward.service, steward.Group.Region) - len(state.Leaving)
}

func (steward *Steward) isServing(path configurator.Path) bool {
	return slices.ContainsFunc(steward.service.Targets, func(target configurator.Target) bool {
		return target.Path == path && target.Region == steward.Group.Region && !target.Leaving
	})
}

// twice reports whether a permit with a lower index ejects the same target.
func (steward *Steward) isDuplicate(permit *Permit, view *View, now timekeeper.Reading) bool {
	for _, received := range view.groups[steward.Group] {
		lower := received.statement.Permit.Index < permit.ID.Index
		if lower && received.statement.Target == permit.Target() && !received.lease.Lapsed(now) {
			return true
		}
	}
	return false
}

func (steward *Steward) eject(state GroupState, now timekeeper.Reading) {
	outlierSince := make(map[configurator.Path]time.Duration)
	allowedEjections := steward.allowedEjections(state)
	ejected := state.View.ActiveEjections(steward.service, steward.Group.Region, len(state.Leaving), now)
	for _, active := range ejected {
		steward.ejectionTimes.RecordEnd(active.Target, active.Strikes, now.Mono)
		// What led to the ejection must not lead to another one after it.
		steward.Detector.Clear(active.Target, now.Mono)
	}
	for _, outlier := range steward.Detector.Outliers(now.Mono) {
		if !steward.isServing(outlier.Target) || slices.Contains(state.Leaving, outlier.Target) || steward.isEjected(outlier.Target, ejected) {
			continue
		}
		since, known := steward.outlierSince[outlier.Target]
		if !known {
			since = now.Mono
		}
		outlierSince[outlier.Target] = since
		permit := steward.freePermit(allowedEjections, now)
		if permit == nil || now.Mono-since < steward.staggerDelay(permit, state.View, now) {
			continue
		}
		duration, strikes := steward.ejectionTimes.Next(outlier.Target, now.Mono)
		permit.Eject(outlier.Target, duration, strikes, now)
		steward.Detector.Clear(outlier.Target, now.Mono)
	}
	steward.outlierSince = outlierSince
}

func (steward *Steward) isEjected(path configurator.Path, ejected []ActiveEjection) bool {
	return slices.ContainsFunc(ejected, func(active ActiveEjection) bool { return active.Target == path }) ||
		slices.ContainsFunc(steward.permits, func(permit *Permit) bool { return permit.Target() == path })
}

// free returns the lowest permit that can be used, or nil.
func (steward *Steward) freePermit(allowedEjections int, now timekeeper.Reading) *Permit {
	for _, permit := range steward.permits {
		if permit.ID.Index < allowedEjections && permit.Free(now) {
			return permit
		}
	}
	return nil
}

// turn returns how long to wait for the holders of lower permits.
func (steward *Steward) staggerDelay(permit *Permit, view *View, now timekeeper.Reading) time.Duration {
	staggerDelay := time.Duration(0)
	for _, received := range view.groups[steward.Group] {
		other := received.statement.Holder != permit.Holder && received.statement.Permit.Index < permit.ID.Index
		if other && (received.statement.Target == "" || received.lease.Lapsed(now)) {
			staggerDelay += staggerStep
		}
	}
	return staggerDelay
}
