package ejector

import (
	"slices"
	"time"

	"godwitramp.example/core/configurator"
	"godwitramp.example/core/timekeeper"
)

const (
	// Holders of higher permits wait so that two don't eject one target.
	turnDelay = 150 * time.Millisecond
	// A target whose health endpoint fails stays out for this much longer.
	prolongation = 2 * time.Second
)

// Steward decides for the permits of one group that a VM holds. It isn't safe
// for concurrent use.
type Steward struct {
	Group    Group
	Detector Detector

	service *configurator.ServiceTargets
	permits []*Permit
	stays   Stays
	// pending is since when a target has been condemned.
	pending map[configurator.Path]time.Duration
	renewed time.Duration
}

// Follow takes over a declaration of the service.
func (steward *Steward) Follow(service *configurator.ServiceTargets, now time.Duration) {
	steward.service = service
	steward.Detector.Region = steward.Group.Region
	steward.Detector.Follow(service, now)
	steward.stays.Keep(service, steward.Group.Region)
}

// Hold adds a permit.
func (steward *Steward) Hold(permit *Permit) {
	steward.permits = append(steward.permits, permit)
	slices.SortFunc(steward.permits, func(a, b *Permit) int { return a.ID.Index - b.ID.Index })
}

// Drop removes a permit.
func (steward *Steward) Drop(permit *Permit) {
	steward.permits = slices.DeleteFunc(steward.permits, func(held *Permit) bool { return held == permit })
}

// Permits returns the permits held, the lowest first.
func (steward *Steward) Permits() []*Permit { return steward.permits }

// Condition is what the steward needs to know of the fleet.
type Condition struct {
	View *View
	// Leaving are targets of the group that say themselves that they leave.
	Leaving []configurator.Path
	// Sick are targets whose health endpoint fails.
	Sick []configurator.Path
}

// Decide ends stays, ejects what the evidence condemns as far as permits
// allow, and renews. It returns the statements that are new.
func (steward *Steward) Decide(condition Condition, now timekeeper.Reading) []Statement {
	before := steward.sequences()
	steward.endStays(condition, now)
	steward.eject(condition, now)
	if now.Mono-steward.renewed >= RenewPeriod {
		steward.renewed = now.Mono
		for _, permit := range steward.permits {
			permit.Renew(now)
		}
	}
	var news []Statement
	for i, permit := range steward.permits {
		if permit.sequence != before[i] && permit.Held(now) {
			news = append(news, permit.Statement(now))
		}
	}
	return news
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
func (steward *Steward) endStays(condition Condition, now timekeeper.Reading) {
	allowed := steward.allowed(condition)
	for _, permit := range steward.permits {
		target := permit.Target()
		if target == "" {
			continue
		}
		void := permit.ID.Index >= allowed || !steward.serves(target) ||
			slices.Contains(condition.Leaving, target) || steward.twice(permit, condition.View, now)
		if !void && !permit.Over(now) {
			continue
		}
		if !void && slices.Contains(condition.Sick, target) {
			permit.Prolong(prolongation, now)
			continue
		}
		permit.Release()
		steward.stays.Ended(target, permit.strikes, now.Mono)
		steward.Detector.Clear(target, now.Mono)
	}
}

// allowed returns how many targets of the group may be out.
func (steward *Steward) allowed(condition Condition) int {
	return AllowedIn(steward.service, steward.Group.Region) - len(condition.Leaving)
}

func (steward *Steward) serves(path configurator.Path) bool {
	return slices.ContainsFunc(steward.service.Targets, func(target configurator.Target) bool {
		return target.Path == path && target.Region == steward.Group.Region && !target.Leaving
	})
}

// twice reports whether a permit with a lower index ejects the same target.
func (steward *Steward) twice(permit *Permit, view *View, now timekeeper.Reading) bool {
	for _, heard := range view.groups[steward.Group] {
		lower := heard.statement.Permit.Index < permit.ID.Index
		if lower && heard.statement.Target == permit.Target() && !heard.lease.Lapsed(now) {
			return true
		}
	}
	return false
}

func (steward *Steward) eject(condition Condition, now timekeeper.Reading) {
	condemned := make(map[configurator.Path]time.Duration)
	allowed := steward.allowed(condition)
	out := condition.View.Obeyed(steward.service, steward.Group.Region, len(condition.Leaving), now)
	for _, obeyed := range out {
		steward.stays.Ended(obeyed.Target, obeyed.Strikes, now.Mono)
		// What led to the ejection must not lead to another one after it.
		steward.Detector.Clear(obeyed.Target, now.Mono)
	}
	for _, verdict := range steward.Detector.Verdicts(now.Mono) {
		if !steward.serves(verdict.Target) || slices.Contains(condition.Leaving, verdict.Target) || steward.isOut(verdict.Target, out) {
			continue
		}
		since, known := steward.pending[verdict.Target]
		if !known {
			since = now.Mono
		}
		condemned[verdict.Target] = since
		permit := steward.free(allowed, now)
		if permit == nil || now.Mono-since < steward.turn(permit, condition.View, now) {
			continue
		}
		stay, strikes := steward.stays.Next(verdict.Target, now.Mono)
		permit.Eject(verdict.Target, stay, strikes, now)
		steward.Detector.Clear(verdict.Target, now.Mono)
	}
	steward.pending = condemned
}

func (steward *Steward) isOut(path configurator.Path, out []Obeyed) bool {
	return slices.ContainsFunc(out, func(obeyed Obeyed) bool { return obeyed.Target == path }) ||
		slices.ContainsFunc(steward.permits, func(permit *Permit) bool { return permit.Target() == path })
}

// free returns the lowest permit that can be used, or nil.
func (steward *Steward) free(allowed int, now timekeeper.Reading) *Permit {
	for _, permit := range steward.permits {
		if permit.ID.Index < allowed && permit.Free(now) {
			return permit
		}
	}
	return nil
}

// turn returns how long to wait for the holders of lower permits.
func (steward *Steward) turn(permit *Permit, view *View, now timekeeper.Reading) time.Duration {
	turn := time.Duration(0)
	for _, heard := range view.groups[steward.Group] {
		other := heard.statement.Holder != permit.Holder && heard.statement.Permit.Index < permit.ID.Index
		if other && (heard.statement.Target == "" || heard.lease.Lapsed(now)) {
			turn += turnDelay
		}
	}
	return turn
}
