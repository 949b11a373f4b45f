package placer

import (
	"math"
	"time"

	"godwitramp.example/core/throttler"
)

// Limits: a target in need names the requests a second that it takes from all VMs together. One
// group of VMs in its data centre, chosen by the target's hash, goes on to send to it, so that
// the limit holds however many VMs there are: they know of each other's attempts and share a
// token bucket. All other VMs leave the target alone until the limit ends, which the answers to
// that group show.
const (
	// minLimitBurst and limitBurstTime are the burst of a limit: the least tokens, and the time
	// in which as many come. A VM with less than half of its group in reach has no whole token.
	minLimitBurst  = 2
	limitBurstTime = 500 * time.Millisecond
	// minLimit is the rate, in requests a second, that is kept up at a lower limit: without
	// answers, nobody would know that it has ended.
	minLimit = 0.25
	// limitMemory is how long a limit holds without news of it.
	limitMemory = 8 * time.Second
	// limitProbeInterval is the average time between the groups of the fleet that forget a
	// limit for want of news. The first of them brings news to all.
	limitProbeInterval = 2 * time.Second
	// limitNewsInterval is how often the VMs are reminded of a limit.
	limitNewsInterval = time.Second
)

// limit is the limit that a target has named.
type limit struct {
	// rate is in requests a second.
	rate   float64
	bucket throttler.Bucket
	// namedAt is when the last answer with it arrived, at this VM or, as far as it knows, at
	// another. toldAt is when the other VMs were last told.
	namedAt, toldAt time.Duration
}

// Limit records that an answer names a limit, in requests a second from all VMs together. It
// reports whether the other VMs should be told, and whether the limit is new or has changed.
func (placer *Placer) Limit(picked Target, rate float64, now time.Duration) (tell, changed bool) {
	known := placer.instanceOf(picked.ID, picked.Incarnation)
	if known == nil {
		return false, false
	}
	changed = placer.setLimit(known, rate, now)
	tell = changed || now-known.limit.toldAt >= limitNewsInterval
	if tell {
		known.limit.toldAt = now
	}
	return tell, changed
}

// PeerLimit records that another VM has told of a limit. It reports whether that changes
// something.
func (placer *Placer) PeerLimit(id string, incarnation int64, rate float64, now time.Duration) bool {
	known := placer.instanceOf(id, incarnation)
	if known == nil {
		return false
	}
	changed := placer.setLimit(known, rate, now)
	known.limit.toldAt = now
	return changed
}

// Unlimit records that the answer to an attempt that started at a time names no limit. That ends
// the limit, unless it was named since then: answers cross. It reports whether it has ended.
func (placer *Placer) Unlimit(picked Target, startedAt time.Duration) bool {
	known := placer.instanceOf(picked.ID, picked.Incarnation)
	if known == nil || known.limit == nil || startedAt <= known.limit.namedAt {
		return false
	}
	known.limit = nil
	return true
}

// PeerUnlimit records that another VM has told that a target names no limit any more. It reports
// whether that changes something.
func (placer *Placer) PeerUnlimit(id string, incarnation int64) bool {
	known := placer.instanceOf(id, incarnation)
	if known == nil || known.limit == nil {
		return false
	}
	known.limit = nil
	return true
}

// LimitOf returns the limit of a target in requests a second, and false if it has named none.
func (placer *Placer) LimitOf(id string) (float64, bool) {
	if known := placer.byID[id]; known != nil && known.limit != nil {
		return known.limit.rate, true
	}
	return 0, false
}

// SetReach sets the share of its group that the VM can reach, itself included, from 0 to 1. It
// may send that share of the limits.
func (placer *Placer) SetReach(reach float64, now time.Duration) {
	placer.reach = reach
	for _, known := range placer.byID {
		if known.limit != nil {
			known.limit.bucket.SetShare(reach, now)
		}
	}
	placer.setWarmupReach(reach, now)
}

// setLimit reports whether the limit is new or another.
func (placer *Placer) setLimit(target *target, rate float64, now time.Duration) bool {
	if !(rate >= 0) || math.IsInf(rate, 1) {
		rate = 0
	}
	changed := target.limit == nil || target.limit.rate != rate
	if target.limit == nil {
		target.limit = &limit{}
	}
	target.limit.namedAt, target.limit.rate = now, rate
	if changed {
		kept := max(rate, minLimit)
		target.limit.bucket.Set(throttler.Limit{Rate: kept, Burst: max(minLimitBurst, kept*limitBurstTime.Seconds())}, now)
		target.limit.bucket.SetShare(placer.reach, now)
	}
	return changed
}

// instanceOf returns a start of a target, or nil if it isn't known.
func (placer *Placer) instanceOf(id string, incarnation int64) *target {
	known := placer.byID[id]
	if known == nil || known.Incarnation != incarnation {
		return nil
	}
	return known
}

// holdsLimit reports whether the VM's group is the one that sends to a target with a limit.
func (placer *Placer) holdsLimit(target *target) bool {
	return placer.isNear(target) && (placer.Groups <= 1 || placer.tries(target))
}

// forgets reports whether there has been no news of the target's limit for so long that the VM
// tries whether it still holds. Groups do that at different times: if all did at once, that
// alone would exceed a limit.
func (placer *Placer) forgets(target *target, now time.Duration) bool {
	silence := now - target.limit.namedAt - limitMemory
	if placer.holdsLimit(target) {
		return silence > 0
	}
	spread := limitProbeInterval.Seconds() / placer.fleetShare()
	position := float64(hashOf(target.ID+placer.Locality.DataCentre)%1024)/1024 + float64(placer.Group)/float64(max(1, placer.Groups))
	return silence.Seconds() > (position-math.Floor(position))*spread
}

// withinLimit reports whether the target's limit allows one more request of this VM now.
func (placer *Placer) withinLimit(target *target, now time.Duration) bool {
	if target.limit == nil || placer.forgets(target, now) {
		return true
	}
	return placer.holdsLimit(target) && target.limit.bucket.Available(now)
}

// limitWait returns how long the target's limit keeps this VM from sending to it. For a VM that
// doesn't hold the limit it is the time in which the target takes one request.
func (placer *Placer) limitWait(target *target, now time.Duration) time.Duration {
	switch {
	case placer.withinLimit(target, now):
		return 0
	case placer.holdsLimit(target):
		return target.limit.bucket.Wait(now)
	default:
		return time.Duration(float64(time.Second) / max(target.limit.rate, minLimit))
	}
}

// take counts a request of this VM or of another of its group towards the limit.
func (limit *limit) take(now time.Duration) {
	if limit != nil {
		limit.bucket.Debit(1, now)
	}
}
