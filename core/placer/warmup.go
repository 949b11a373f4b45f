package placer

import (
	"cmp"
	"iter"
	"math"
	"slices"
	"time"

	"godwitramp.example/core/throttler"
)

// Warm-up: a target that is cold crashes if it gets many more requests a second than its service's warm-up rate
// from all VMs together. While it is cold, one group of VMs of its data centre, the same that would send to it if it
// named a limit, shares a token bucket for it; all other VMs leave it alone. This answers a whole data centre whose
// targets come back at once under its usual load.

// Warmup is what a cold target of a service tolerates.
type Warmup struct {
	// Rate is in requests a second from all VMs together. With 0 the service's targets need no warm-up.
	Rate float64
	// Time is how long a target counts as cold that may have become cold without saying so.
	Time time.Duration
}

// WarmupBounds is the number of requests that may arrive at a cold target in any second: Overshoot times the
// warm-up rate, and Tolerance requests beyond that.
type WarmupBounds struct {
	Overshoot float64
	// Tolerance is in requests.
	Tolerance float64
}

const (
	// warmupBurstShare is the part of what is allowed beyond the rate that the bucket holds. Two groups, or two
	// halves of a group, that don't know of each other then stay within the bound of rates up to ten a second.
	warmupBurstShare = 0.23
	// warmupUsedShare is the share of the bound that rate and burst use at most in a second. The rest covers VMs
	// of earlier versions, and attempts that VMs start before they learn of those of the others.
	warmupUsedShare = 0.75
	// warmupRowDelay is how long after a target may have become cold a row must have been read to say that it isn't:
	// one that is read sooner may have been written before.
	warmupRowDelay = time.Second
)

// divide returns the bucket of the group that sends to a cold target.
func (bounds WarmupBounds) divide(rate float64) throttler.Limit {
	allowed := rate*bounds.Overshoot + bounds.Tolerance
	burst := max(1, warmupBurstShare*(allowed-rate))
	return throttler.Limit{Rate: max(minLimit, min(rate, warmupUsedShare*allowed-burst)), Burst: burst}
}

// warmup is what is known of a target's warm-up.
type warmup struct {
	// reportedAt is when the row was read that was the last to report the warm-up, and reportedUntil its end.
	reportedAt, reportedUntil time.Duration
	// probedAt is when the last answer to a probe was heard of that reported the warm-up, and probedUntil its end.
	probedAt, probedUntil time.Duration
	// own is what the outcomes of this VM's attempts show, and peers what those of the other VMs of its group show.
	// Only VMs that send to the target while it is cold use peers: otherwise a VM whose own path is cut would make its
	// group treat all targets as cold.
	own, peers presumption
	// bucket is nil while the target isn't cold.
	bucket *throttler.Bucket
	// held is true if the VM's group held the bucket when it was used last.
	held bool
	// told is true if WarmupChanges has returned the target as cold.
	told bool
}

// presumption is that a target may have become cold without saying so.
type presumption struct {
	// presumed is true if the target may have become cold at the time at.
	presumed bool
	at       time.Duration
	// unreached is true if the target could not be reached and has not answered since.
	unreached bool
}

func (presumption *presumption) presume(now time.Duration) {
	presumption.presumed, presumption.at = true, now
}

// observe notes outcomes after which a target may be cold: it could not be reached, or is reached again.
func (presumption *presumption) observe(outcome Outcome, now time.Duration) {
	switch {
	case outcome == Unreachable:
		presumption.unreached = true
		presumption.presume(now)
	case presumption.unreached && outcome.isAnswer():
		presumption.unreached = false
		presumption.presume(now)
	}
}

// until returns until when the target counts as cold for that.
func (presumption *presumption) until(duration time.Duration) time.Duration {
	switch {
	case presumption.unreached:
		return math.MaxInt64
	case presumption.presumed:
		return presumption.at + duration
	default:
		return 0
	}
}

// correct ends the presumption if a row that was read at a time can't have been written before.
func (presumption *presumption) correct(at time.Duration) {
	if at >= presumption.at+warmupRowDelay {
		presumption.presumed = false
	}
}

// SetWarmups sets the warm-up of each service that has one, by name, and the bounds that apply to all.
func (placer *Placer) SetWarmups(warmups map[string]Warmup, bounds WarmupBounds, now time.Duration) {
	placer.warmups, placer.warmupBounds = warmups, bounds
	for _, known := range placer.byID {
		placer.updateWarmup(known, now)
		if known.warmup.bucket != nil {
			known.warmup.bucket.Set(bounds.divide(warmups[known.Service].Rate), now)
		}
	}
}

// learnWarmup records what the row of a target reports about its warm-up, if the row is news.
func (placer *Placer) learnWarmup(known *target, before Target, fresh bool, now time.Duration) {
	if fresh || known.Warmup != before.Warmup || known.WarmupAt != before.WarmupAt {
		at := known.WarmupAt
		if at == 0 {
			at = now
		}
		known.warmup.reportedAt, known.warmup.reportedUntil = at, at+known.Warmup
		if at >= known.warmup.probedAt+warmupRowDelay {
			known.warmup.probedUntil = 0
		}
		known.warmup.own.correct(at)
		known.warmup.peers.correct(at)
	}
	placer.updateWarmup(known, now)
}

// ConnectionLost records that a target's connection ended before its answer: it may have started again.
func (placer *Placer) ConnectionLost(picked Target, now time.Duration) {
	if known := placer.instanceOf(picked.ID, picked.Incarnation); known != nil {
		known.warmup.own.presume(now)
		placer.updateWarmup(known, now)
	}
}

// PresumeCold makes the targets of a data centre count as cold, as they may have become so while they got no
// requests.
func (placer *Placer) PresumeCold(dataCentre string, now time.Duration) {
	for _, known := range placer.byID {
		if known.DataCentre == dataCentre {
			known.warmup.own.presume(now)
			placer.updateWarmup(known, now)
		}
	}
}

// observe notes the outcome of an attempt of this VM or of another of its group.
func (warmup *warmup) observe(outcome Outcome, own bool, now time.Duration) {
	if own {
		warmup.own.observe(outcome, now)
	}
	if !own || outcome.isAnswer() {
		warmup.peers.observe(outcome, now)
	}
}

// coldUntil returns the time until which the target counts as cold, as far as is known now. The VMs that send to a cold
// target try it until it answers; for others one that could not be reached counts as warm after the service's time.
func (placer *Placer) coldUntil(target *target) time.Duration {
	duration, known := placer.warmups[target.Service].Time, &target.warmup
	reported := max(known.reportedUntil, known.probedUntil)
	if placer.holdsLimit(target) {
		return max(reported, known.own.until(duration), known.peers.until(duration))
	}
	if known.own.presumed {
		return max(reported, known.own.at+duration)
	}
	return reported
}

// isCold reports whether the target counts as cold.
func (placer *Placer) isCold(target *target, now time.Duration) bool {
	return placer.warmups[target.Service].Rate > 0 && now < placer.coldUntil(target)
}

// updateWarmup creates the bucket of a target that has become cold, and drops that of one that is warm. It reports
// whether the target is cold.
func (placer *Placer) updateWarmup(target *target, now time.Duration) bool {
	if !placer.isCold(target, now) {
		target.warmup.bucket = nil
		return false
	}
	if target.warmup.bucket == nil {
		target.warmup.bucket = &throttler.Bucket{}
		target.warmup.bucket.Set(placer.warmupBounds.divide(placer.warmups[target.Service].Rate), now)
		target.warmup.bucket.SetShare(placer.reach, now)
		target.warmup.held = placer.holdsLimit(target)
		if placer.cold == nil {
			placer.cold = make(map[string]bool)
		}
		placer.cold[target.ID] = true
	}
	if held := placer.holdsLimit(target); held != target.warmup.held {
		// Until now the group was not told of the attempts at the target.
		target.warmup.held = held
		target.warmup.bucket.ResetLevel(now)
	}
	return true
}

// withinWarmup reports whether the target is warm or has a token for one more request of this VM now.
func (placer *Placer) withinWarmup(target *target, now time.Duration) bool {
	return !placer.updateWarmup(target, now) || target.warmup.held && target.warmup.bucket.Available(now)
}

// warmupWait returns how long the target's warm-up keeps this VM from sending to it. For a VM of a group that doesn't
// send to it, it is the time in which the target takes one request.
func (placer *Placer) warmupWait(target *target, now time.Duration) time.Duration {
	if placer.withinWarmup(target, now) {
		return 0
	}
	declared := placer.warmups[target.Service]
	wait := time.Duration(float64(time.Second) / max(declared.Rate, minLimit))
	if target.warmup.held {
		wait = target.warmup.bucket.Wait(now)
	}
	return min(wait, placer.coldUntil(target)-now)
}

// take counts a request of this VM or of another of its group towards what the target tolerates while it is cold.
func (warmup *warmup) take(now time.Duration) {
	if warmup.bucket != nil {
		warmup.bucket.Debit(1, now)
	}
}

// Cold reports whether the target counts as cold.
func (placer *Placer) Cold(id string, now time.Duration) bool {
	known := placer.byID[id]
	return known != nil && placer.isCold(known, now)
}

// AnyCold reports whether a target of the service counts as cold.
func (placer *Placer) AnyCold(service string, now time.Duration) bool {
	if len(placer.cold) == 0 {
		return false
	}
	for _, target := range placer.byService[service] {
		if placer.isCold(target, now) {
			return true
		}
	}
	return false
}

// WarmupBuckets returns the buckets of the service's cold targets that this VM's group sends to, for the caller to
// tell them what it believes about the group.
func (placer *Placer) WarmupBuckets(service string, now time.Duration) iter.Seq[*throttler.Bucket] {
	return func(yield func(*throttler.Bucket) bool) {
		if len(placer.cold) == 0 {
			return
		}
		for _, target := range placer.byService[service] {
			if placer.updateWarmup(target, now) && target.warmup.held && !yield(target.warmup.bucket) {
				return
			}
		}
	}
}

// WarmupWithheld reports whether a cold target of the service in the regions, nil for all, has a token that this VM may
// not spend until it hears others of its group, and whether that leaves no target of the data centre a slot for one more
// request.
func (placer *Placer) WarmupWithheld(service string, regions []string, now time.Duration) (withheld, short bool) {
	if len(placer.cold) == 0 {
		return false, false
	}
	room := false
	for _, target := range placer.byService[service] {
		switch {
		case !placer.isNear(target) || !placer.Permits(target.Target, regions) || !target.available(now) || target.inFlight(now) >= target.Slots:
		case placer.withinWarmup(target, now):
			room = room || placer.withinLimit(target, now)
		case target.warmup.held:
			withheld = withheld || target.warmup.bucket.Withholds(now)
		}
	}
	return withheld, withheld && !room
}

// setWarmupReach sets the share of the buckets that this VM may spend.
func (placer *Placer) setWarmupReach(reach float64, now time.Duration) {
	for id := range placer.cold {
		if known := placer.byID[id]; known != nil && known.warmup.bucket != nil {
			known.warmup.bucket.SetShare(reach, now)
		}
	}
}

// WarmupChanges returns the targets that have become cold or warm since the last call, and how many are cold.
func (placer *Placer) WarmupChanges(now time.Duration) (cold, warm []Target, count int) {
	for id := range placer.cold {
		known := placer.byID[id]
		switch {
		case known == nil:
			delete(placer.cold, id)
		case !placer.updateWarmup(known, now):
			if known.warmup.told {
				warm = append(warm, known.Target)
			}
			known.warmup.told = false
			delete(placer.cold, id)
		case !known.warmup.told:
			known.warmup.told = true
			cold = append(cold, known.Target)
			count++
		default:
			count++
		}
	}
	byID := func(a, b Target) int { return cmp.Compare(a.ID, b.ID) }
	slices.SortFunc(cold, byID)
	slices.SortFunc(warm, byID)
	return cold, warm, count
}
