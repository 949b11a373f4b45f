package tracker

import (
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"godwitramp.example/core/placer"
	"godwitramp.example/platform"
)

const (
	// lapseWindow is how long after an outage of the store a missing entry may have
	// expired only because its target could not renew it.
	lapseWindow = 500 * time.Millisecond
	// lapseGrace is how long after the outage the target has to renew the entry. A VM that was isolated counts as
	// connected again as long after the isolation, and must have dropped the targets that left by then.
	lapseGrace = 2 * time.Second
	// isolationTime is how long a VM hears neither another VM nor the store before it counts as isolated. Three
	// heartbeats of the group may be lost.
	isolationTime = 2 * time.Second
	// maxLoggedUpdates is the number of targets in one answer up to which each has a line.
	maxLoggedUpdates = 8
	// goneMemory is how long after a target has gone its entry is known again, if the store
	// is restored from an older copy, and maxGone the number of such targets.
	goneMemory = time.Minute
	maxGone    = 4096
	// holdTime is how long the entry of a target that is known to be gone is not believed.
	// The store removes the entries of targets that are silent sooner.
	holdTime = 10 * time.Second
)

// targets holds the targets with a valid entry in the store. The tracker's mutex guards
// it.
type targets struct {
	log  *logrus.Entry
	byID map[string]placer.Target
	// lapsed maps the targets whose entries expired during an outage of the store to the
	// time until which they are kept.
	lapsed map[string]time.Duration
	// readAt is the time of the first answer after an outage, and keepUntil that until which entries are kept that it lacks.
	readAt, keepUntil time.Duration
	// sightings are the newest entries of the targets in byID, and of those that have gone.
	sightings map[string]sighting
	// held are the entries that aren't believed yet.
	held map[string]heldEntry
}

// sighting tells the newest entry of a target from older ones, which an older copy of the
// store brings back.
type sighting struct {
	incarnation, sequence int64
	era, version          uint64
	// forgetAt is set for a target that has gone.
	forgetAt time.Duration
}

// heldEntry is an entry of a target that is known to be gone.
type heldEntry struct {
	target placer.Target
	found  sighting
	until  time.Duration
}

// apply applies rows of the table in an era of the store, all of them if full is true, and
// reports whether a target has changed.
func (targets *targets) apply(rows []platform.Row, full bool, era uint64, now time.Duration) bool {
	if targets.byID == nil {
		targets.byID = make(map[string]placer.Target)
		targets.lapsed = make(map[string]time.Duration)
		targets.sightings = make(map[string]sighting)
		targets.held = make(map[string]heldEntry)
	}
	changed := false
	present := make(map[string]bool, len(rows))
	var updated []update
	for _, row := range rows {
		present[row.Key] = true
		known := targets.byID[row.Key]
		if targets.applyRow(row, era, now) {
			changed = true
			if target, ok := targets.byID[row.Key]; ok && target != known {
				updated = append(updated, update{target, row.Version})
			}
		}
	}
	targets.logUpdates(updated)
	if !full {
		return changed
	}
	for id := range targets.held {
		if !present[id] {
			delete(targets.held, id)
		}
	}
	for id := range targets.byID {
		if !present[id] && targets.remove(id, now) {
			changed = true
		}
	}
	return changed
}

func (targets *targets) applyRow(row platform.Row, era uint64, now time.Duration) bool {
	held := targets.held[row.Key]
	delete(targets.held, row.Key)
	if row.Deleted {
		return targets.remove(row.Key, now)
	}
	target, sequence, err := platform.TargetEntry(row)
	if err != nil {
		targets.log.WithError(err).WithField("entry-version", row.Version).Warn("target-entry-invalid")
		dropped := targets.drop(row.Key, now)
		targets.forgetEntry(row.Key, era, now)
		return dropped
	}
	found := sighting{incarnation: target.Incarnation, sequence: sequence, era: era, version: row.Version}
	if found.incarnation == 0 && targets.sightings[row.Key].incarnation != 0 {
		return targets.distrust(target, found, held, now)
	}
	if targets.outdated(target, found) {
		_, present := targets.byID[row.Key]
		if !present || found.incarnation != targets.sightings[row.Key].incarnation {
			targets.hold(target, found, held, now)
		}
		return false
	}
	current, ok := targets.byID[row.Key]
	target.WarmupAt = now
	if ok && !newsOfWarmup(targets.sightings[row.Key], found, current, target) {
		target.Warmup, target.WarmupAt = current.Warmup, current.WarmupAt
	}
	targets.sightings[row.Key] = found
	delete(targets.lapsed, row.Key)
	if ok && current == target {
		return false
	}
	targets.byID[row.Key] = target
	return true
}

// newsOfWarmup reports whether the entry of a known target tells anew how long it is cold. The same entry comes more
// than once, from the store and from other VMs, and an older one may come late.
func newsOfWarmup(known, found sighting, current, target placer.Target) bool {
	switch {
	case known.incarnation != found.incarnation:
		return true
	case known.era == found.era && known.version == found.version:
		return false
	case current.Warmup == 0 && target.Warmup == 0:
		return false
	default:
		// Without the time of its start, a target that counts anew may have started again.
		return found.sequence > known.sequence || found.incarnation == 0
	}
}

// outdated reports whether an entry was brought back by an older copy of the store, or written late, and
// says that a target is there that is known to be leaving or gone.
func (targets *targets) outdated(target placer.Target, found sighting) bool {
	known, ok := targets.sightings[target.ID]
	if !ok || known.era > found.era || known.incarnation < found.incarnation {
		return false
	}
	current, present := targets.byID[target.ID]
	switch {
	case known.era == found.era:
		// The store may perform a write seconds after it was sent. Without the time of its start, a target
		// that counts anew may have started again.
		undone := present && current.Leaving && !target.Leaving && found.sequence < known.sequence
		if !undone || found.incarnation == 0 || found.incarnation != known.incarnation {
			return false
		}
	case known.incarnation > found.incarnation: // an earlier start
	case present && (!current.Leaving || target.Leaving):
		return false // nothing is undone
	case found.sequence > known.sequence && (present || found.version != known.version):
		return false // the target has written again
	}
	targets.log.WithFields(logrus.Fields{
		"target": target.ID, "leaving": present && current.Leaving, "gone": !present, "entry-version": found.version, "incarnation": found.incarnation,
		"sequence": found.sequence, "known-incarnation": known.incarnation, "known-sequence": known.sequence,
	}).Info("target-entry-outdated")
	return true
}

// hold keeps the entry of a target that is known to be gone or to have started again. If the
// store still has it after holdTime, the target writes: the store doesn't tell of writes that
// change nothing but their number.
func (targets *targets) hold(target placer.Target, found sighting, held heldEntry, now time.Duration) {
	if known := targets.sightings[target.ID]; known.forgetAt > 0 {
		known.forgetAt = now + goneMemory
		targets.sightings[target.ID] = known
	}
	if held.found != found {
		held = heldEntry{target: target, found: found, until: now + holdTime}
	}
	targets.held[target.ID] = held
}

// forgetEntry forgets the newest entry of a target that may be well, but not that its entries state its start.
func (targets *targets) forgetEntry(id string, era uint64, now time.Duration) {
	known := targets.sightings[id]
	delete(targets.sightings, id)
	if known.incarnation != 0 {
		targets.sightings[id] = sighting{incarnation: known.incarnation, era: era, forgetAt: now + goneMemory}
	}
}

// distrust drops a target whose entry lacks the start that earlier ones state, as another writer's may. If the store still
// has such an entry after holdTime, the target has started again with software that doesn't state it.
func (targets *targets) distrust(target placer.Target, found sighting, held heldEntry, now time.Duration) bool {
	targets.log.WithFields(logrus.Fields{
		"target": target.ID, "entry-version": found.version, "known-incarnation": targets.sightings[target.ID].incarnation,
	}).Warn("target-entry-without-start")
	dropped := targets.drop(target.ID, now)
	if held.found.incarnation != 0 || held.until == 0 {
		held.until = now + holdTime
	}
	targets.held[target.ID] = heldEntry{target: target, found: found, until: held.until}
	return dropped
}

// releaseHeld adds the targets whose entries were held for long enough, and reports whether
// there was any.
func (targets *targets) releaseHeld(now time.Duration) bool {
	var updated []update
	for id, held := range targets.held {
		if now >= held.until {
			delete(targets.held, id)
			targets.byID[id], targets.sightings[id] = held.target, held.found
			updated = append(updated, update{held.target, held.found.version})
		}
	}
	targets.logUpdates(updated)
	return len(updated) > 0
}

// update is a target that came or changed, with the version of its row.
type update struct {
	target  placer.Target
	version uint64
}

// logUpdates logs the targets that came or changed: a line for each, or one for all if they
// are many, as when the VM or all targets start.
func (targets *targets) logUpdates(updated []update) {
	if len(updated) > maxLoggedUpdates {
		ids := make([]string, 0, len(updated))
		for _, update := range updated {
			ids = append(ids, update.target.ID)
		}
		targets.log.WithFields(logrus.Fields{
			"updated": ids, "targets": len(targets.byID), "entry-version": updated[len(updated)-1].version,
		}).Info("targets-loaded")
		return
	}
	for _, update := range updated {
		target := update.target
		targets.log.WithFields(logrus.Fields{
			"target": target.ID, "service": target.Service, "address": target.Address, "leaving": target.Leaving,
			"warm-up": target.Warmup, "entry-version": update.version,
		}).Info("target-updated")
	}
}

// remove drops a target whose entry is missing. Shortly after an outage it marks the
// target as lapsed instead, unless it is leaving.
func (targets *targets) remove(id string, now time.Duration) bool {
	current, ok := targets.byID[id]
	if !ok {
		return false
	}
	if targets.readAt > 0 && now-targets.readAt < lapseWindow && now < targets.keepUntil && !current.Leaving {
		if _, already := targets.lapsed[id]; !already {
			targets.lapsed[id] = targets.keepUntil
			targets.log.WithField("target", id).Warn("target-lapsed")
		}
		return false
	}
	return targets.drop(id, now)
}

func (targets *targets) drop(id string, now time.Duration) bool {
	delete(targets.lapsed, id)
	if _, ok := targets.byID[id]; !ok {
		return false
	}
	delete(targets.byID, id)
	targets.limitGone()
	known := targets.sightings[id]
	known.forgetAt = now + goneMemory
	targets.sightings[id] = known
	targets.log.WithField("target", id).Info("target-gone")
	return true
}

// limitGone forgets a target that went long ago if there are too many.
func (targets *targets) limitGone() {
	gone := len(targets.sightings) - len(targets.byID)
	if gone <= maxGone {
		return
	}
	oldest, forgetAt := "", time.Duration(math.MaxInt64)
	for id, known := range targets.sightings {
		if known.forgetAt > 0 && known.forgetAt < forgetAt {
			oldest, forgetAt = id, known.forgetAt
		}
	}
	delete(targets.sightings, oldest)
}

// forgetGone forgets the targets that went long ago.
func (targets *targets) forgetGone(now time.Duration) {
	for id, known := range targets.sightings {
		if known.forgetAt > 0 && now >= known.forgetAt {
			delete(targets.sightings, id)
		}
	}
}

// dropLapsed drops the lapsed targets whose entry was not renewed in time, and reports
// whether there was any.
func (targets *targets) dropLapsed(now time.Duration) bool {
	changed := false
	for id, until := range targets.lapsed {
		if now >= until && targets.drop(id, now) {
			changed = true
		}
	}
	return changed
}

// dropAllLapsed drops all lapsed targets, as there was no outage in which they couldn't renew their entries. It reports
// whether there was any.
func (targets *targets) dropAllLapsed(now time.Duration) bool {
	targets.keepUntil = 0
	changed := false
	for id := range targets.lapsed {
		changed = targets.drop(id, now) || changed
	}
	return changed
}

func (targets *targets) all() []placer.Target {
	all := make([]placer.Target, 0, len(targets.byID))
	for _, target := range targets.byID {
		all = append(all, target)
	}
	return all
}
