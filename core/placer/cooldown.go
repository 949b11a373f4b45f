package placer

import "time"

const (
	// longestQuiet bounds how long a target may ask to be left alone, so that no
	// mistake takes it out for ever.
	maxCoolDown = 10 * time.Minute
	// returnTime is how long a target takes to get its whole share back. VMs learn of
	// its load within the work of a few requests.
	rampUpTime = time.Second
	// costOfReturn is what a target costs whose quiet has just ended, as much as one
	// with a request more than it has slots.
	initialRampUpCost = 0.25
)

// Quiet takes note that a target asked this VM to send nothing for a time. Of several
// times the latest end counts. It returns the end.
func (placer *Placer) CoolDown(picked Target, requested, now time.Duration) time.Duration {
	known := placer.byID[picked.ID]
	if known == nil || known.Incarnation != picked.Incarnation {
		return now
	}
	known.coolDownUntil = max(known.coolDownUntil, now+min(requested, maxCoolDown))
	return known.coolDownUntil
}

// Wait returns how long it takes until a target of the service may be asked again, if
// all that there are want quiet. It reports false otherwise.
func (placer *Placer) CoolDownWait(service string, now time.Duration) (time.Duration, bool) {
	var earliest time.Duration
	found := false
	for _, target := range placer.byService[service] {
		switch {
		case target.isLeaving():
			continue
		case target.coolDownUntil <= now:
			return 0, false
		case !found || target.coolDownUntil < earliest:
			earliest, found = target.coolDownUntil, true
		}
	}
	return earliest - now, found
}

// quiet reports whether the target wants nothing now.
func (target *target) coolingDown(now time.Duration) bool { return target.coolDownUntil > now }

// costOfQuiet is what is left of the cost after a quiet time has ended. All VMs that
// were asked for the same time would else send to it at once.
func (target *target) rampUpCost(now time.Duration) float64 {
	elapsed := now - target.coolDownUntil
	if target.coolDownUntil == 0 || elapsed >= rampUpTime {
		return 0
	}
	return initialRampUpCost * (1 - float64(elapsed)/float64(rampUpTime))
}
