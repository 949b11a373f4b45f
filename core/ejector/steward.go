package ejector

import (
	"slices"
	"time"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/timekeeper"
)

const (
	// staggerStep is the delay for each free permit with a lower index of another
	// holder, so that two holders don't eject the same target.
	staggerStep = 150 * time.Millisecond
	// unhealthyExtension is added to an ejection while the target's health check
	// fails.
	unhealthyExtension = 2 * time.Second
)

// Steward decides on ejections with the permits of one group that a VM holds. It
// isn't safe for concurrent use.
type Steward struct {
	Group    Group
	Detector Detector

	service       *configurator.ServiceTargets
	permits       []*Permit
	ejectionTimes EjectionTimes
	// outlierSince is when each target was first found to be an outlier.
	outlierSince map[configurator.Path]time.Duration
	renewedAt    time.Duration
}

// Configure sets the targets of the service.
func (steward *Steward) Configure(service *configurator.ServiceTargets, now time.Duration) {
	steward.service = service
	steward.Detector.Region = steward.Group.Region
	steward.Detector.Configure(service, now)
	steward.ejectionTimes.Prune(service, steward.Group.Region)
}

// AddPermit adds a permit that the VM has acquired.
func (steward *Steward) AddPermit(permit *Permit) {
	steward.permits = append(steward.permits, permit)
	slices.SortFunc(steward.permits, func(a, b *Permit) int { return a.ID.Index - b.ID.Index })
}

// RemovePermit removes a permit that the VM no longer holds.
func (steward *Steward) RemovePermit(permit *Permit) {
	steward.permits = slices.DeleteFunc(steward.permits, func(held *Permit) bool { return held == permit })
}

// Permits returns the permits held, sorted by index.
func (steward *Steward) Permits() []*Permit { return steward.permits }

// GroupState is the input of Decide: the state of the group's targets in the fleet.
type GroupState struct {
	View *View
	// Leaving are targets of the group that have announced that they leave.
	Leaving []configurator.Path
	// Unhealthy are targets whose health check fails.
	Unhealthy []configurator.Path
}

// Decide ends ejections that are over or invalid, ejects outliers as far as the
// permits allow, and renews the leases of ejections. It returns the statements that
// changed.
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

// endEjections ends ejections whose duration has passed, that duplicate another one,
// or that the configuration doesn't allow any more.
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

// allowedEjections returns how many targets of the group may be ejected.
func (steward *Steward) allowedEjections(state GroupState) int {
	return AllowedEjectionsIn(steward.service, steward.Group.Region) - len(state.Leaving)
}

func (steward *Steward) isServing(path configurator.Path) bool {
	return slices.ContainsFunc(steward.service.Targets, func(target configurator.Target) bool {
		return target.Path == path && target.Region == steward.Group.Region && !target.Leaving
	})
}

// isDuplicate reports whether a permit with a lower index ejects the same target.
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
		// The evidence that led to this ejection must not cause another one after
		// it.
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

// freePermit returns the free permit with the lowest index, or nil.
func (steward *Steward) freePermit(allowedEjections int, now timekeeper.Reading) *Permit {
	for _, permit := range steward.permits {
		if permit.ID.Index < allowedEjections && permit.Free(now) {
			return permit
		}
	}
	return nil
}

// staggerDelay returns how long to wait for other holders of free permits with a
// lower index.
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
