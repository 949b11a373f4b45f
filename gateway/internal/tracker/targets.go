package tracker

import (
	"time"

	"github.com/sirupsen/logrus"

	"godwitramp.example/core/placer"
	"godwitramp.example/platform"
)

const (
	// lapseWindow is how long after the return of the store a missing entry
	// may have lapsed only because its target could not write.
	lapseWindow = 500 * time.Millisecond
	// lapseGrace is how long a lapsed entry may take to come back.
	lapseGrace = 2 * time.Second
)

// targets are the entries of the store that name a usable target.
type targets struct {
	log  *logrus.Entry
	byID map[string]placer.Target
	// lapsed are entries that went while the store was away, with the time
	// until which they may come back.
	lapsed     map[string]time.Duration
	returnedAt time.Duration
}

// take takes rows in and reports whether a target has changed.
func (targets *targets) take(rows []platform.Row, whole bool, now time.Duration) bool {
	if targets.byID == nil {
		targets.byID = make(map[string]placer.Target)
		targets.lapsed = make(map[string]time.Duration)
	}
	changed := false
	present := make(map[string]bool, len(rows))
	for _, row := range rows {
		present[row.Key] = true
		if targets.takeRow(row, now) {
			changed = true
		}
	}
	if !whole {
		return changed
	}
	for id := range targets.byID {
		if !present[id] && targets.remove(id, now) {
			changed = true
		}
	}
	return changed
}

func (targets *targets) takeRow(row platform.Row, now time.Duration) bool {
	if row.Deleted {
		return targets.remove(row.Key, now)
	}
	target, err := platform.Target(row)
	if err != nil {
		targets.log.WithError(err).WithField("entry-version", row.Version).Warn("target-refused")
		return targets.drop(row.Key)
	}
	delete(targets.lapsed, row.Key)
	known, ok := targets.byID[row.Key]
	if ok && known == target {
		return false
	}
	targets.byID[row.Key] = target
	targets.log.WithFields(logrus.Fields{
		"target": target.ID, "service": target.Service, "address": target.Address, "leaving": target.Leaving,
		"warm-up": target.Warmup, "entry-version": row.Version,
	}).Info("target-seen")
	return true
}

// remove drops a target whose entry is gone, or notes that it has lapsed.
func (targets *targets) remove(id string, now time.Duration) bool {
	known, ok := targets.byID[id]
	if !ok {
		return false
	}
	if targets.returnedAt > 0 && now-targets.returnedAt < lapseWindow && !known.Leaving {
		if _, already := targets.lapsed[id]; !already {
			targets.lapsed[id] = targets.returnedAt + lapseGrace
			targets.log.WithField("target", id).Warn("target-lapsed")
		}
		return false
	}
	return targets.drop(id)
}

func (targets *targets) drop(id string) bool {
	delete(targets.lapsed, id)
	if _, ok := targets.byID[id]; !ok {
		return false
	}
	delete(targets.byID, id)
	targets.log.WithField("target", id).Info("target-gone")
	return true
}

// dropLapsed drops the lapsed entries that did not come back in time.
func (targets *targets) dropLapsed(now time.Duration) bool {
	changed := false
	for id, until := range targets.lapsed {
		if now >= until && targets.drop(id) {
			changed = true
		}
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
