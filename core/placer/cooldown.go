package placer

import "time"

const (
	// maxCoolDown limits the cool-down that a target may request, so that a mistake
	// doesn't exclude it permanently.
	maxCoolDown = 10 * time.Minute
	// rampUpTime is the time from the end of a cool-down until the target receives
	// its full share again. VMs learn its load within the duration of a few
	// requests.
	rampUpTime = time.Second
	// initialRampUpCost is the cost of a target whose cool-down has just ended,
	// about that of a target with one request more than it has slots.
	initialRampUpCost = 0.25
)

// CoolDown records that a target asked this VM to send no requests for a time. The
// latest end of several cool-downs applies. It returns the end of the cool-down.
func (placer *Placer) CoolDown(picked Target, requested, now time.Duration) time.Duration {
	known := placer.byID[picked.ID]
	if known == nil || known.Incarnation != picked.Incarnation {
		return now
	}
	known.coolDownUntil = max(known.coolDownUntil, now+min(requested, maxCoolDown))
	return known.coolDownUntil
}

// Wait returns the time until the first target of the service in the regions, nil for all, takes
// requests again, if all targets there that are neither leaving nor evacuated are in a cool-down or have no
// token of their limit or warm-up left, or else false. Limited is true if that target has named a limit or is cold.
func (placer *Placer) Wait(service string, regions []string, now time.Duration) (wait time.Duration, limited, ok bool) {
	for _, target := range placer.byService[service] {
		if target.excluded() || !placer.Permits(target.Target, regions) {
			continue
		}
		coolDown, limit := max(0, target.coolDownUntil-now), max(placer.limitWait(target, now), placer.warmupWait(target, now))
		own := max(coolDown, limit)
		if own == 0 {
			return 0, false, false
		}
		if !ok || own < wait {
			wait, limited, ok = own, limit >= coolDown, true
		}
	}
	return wait, limited, ok
}

// coolingDown reports whether the target is in a cool-down.
func (target *target) coolingDown(now time.Duration) bool { return target.coolDownUntil > now }

// rampUpCost is the extra cost after a cool-down, which decreases linearly. Without
// it, all VMs that were given the same end would send requests to the target at
// once.
func (target *target) rampUpCost(now time.Duration) float64 {
	elapsed := now - target.coolDownUntil
	if target.coolDownUntil == 0 || elapsed >= rampUpTime {
		return 0
	}
	return initialRampUpCost * (1 - float64(elapsed)/float64(rampUpTime))
}
