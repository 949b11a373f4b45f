package placer

import (
	"cmp"
	"slices"
	"time"
)

// Probes: a target that becomes cold without a start or a lost connection says so in its row up to 1.5 s later. Under
// load that is enough for more requests than it tolerates, so that the group that sends to it while it is cold asks its
// health check, and tells all VMs.

const (
	// probeInterval is the shortest time between two probes of a target: at most 3 in any second.
	probeInterval = 400 * time.Millisecond
	// probeShare is the part of the bound on requests to a cold target from which on the service's mean load of a target
	// is high enough to exceed the bound before the row is read: in virtual time, up to 15 requests arrived in a second (14
	// are allowed) at 0.29 of the bound, and 10 at 0.16.
	probeShare = 0.2
	// probeSettleTime is how long a VM must have been the one that probes a target before it does, so that the one before
	// has stopped.
	probeSettleTime = time.Second
	// probeGap is the time without a call of DueProbes after which the VM may have been frozen.
	probeGap = 500 * time.Millisecond
)

// probing is the state of the probes of a target.
type probing struct {
	// since is when this VM became the one that probes the target, and checkedAt when it last was.
	since, checkedAt time.Duration
	checked          bool
	// sentAt is when the last probe was sent.
	sentAt time.Duration
	sent   bool
}

// Member is a VM of a group.
type Member struct {
	Name string
	// Silent is true if its messages don't arrive.
	Silent bool
}

// Probes reports whether the VM named self is the one of its group that probes a target. In a group that is cut into
// parts, only VMs that hear most of it probe, or those of the half with its first member.
func Probes(target, self string, others []Member) bool {
	chosen, first, heard := self, self, 1
	firstHeard := true
	for _, other := range others {
		if other.Name < first {
			first, firstHeard = other.Name, !other.Silent
		}
		if other.Silent {
			continue
		}
		heard++
		if cmp.Or(cmp.Compare(hashOf(target+other.Name), hashOf(target+chosen)), cmp.Compare(other.Name, chosen)) > 0 {
			chosen = other.Name
		}
	}
	members := len(others) + 1
	return chosen == self && (2*heard > members || 2*heard == members && firstHeard)
}

// DueProbes returns the targets that this VM should probe now, and counts them as probed. The function probes reports
// whether the VM is the one of its group that probes a target. Call it every tenth of a second.
func (placer *Placer) DueProbes(probes func(target string) bool, now time.Duration) []Target {
	var due []Target
	for service, warmup := range placer.warmups {
		if warmup.Rate <= 0 {
			continue
		}
		needed := placer.needsProbes(service, now)
		for _, known := range placer.byService[service] {
			if placer.holdsLimit(known) && probes(known.ID) && known.probing.noteDue(now) && needed && known.available(now) && now >= known.warmup.probedUntil {
				known.probing.sentAt, known.probing.sent = now, true
				due = append(due, known.Target)
			}
		}
	}
	slices.SortFunc(due, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return due
}

// needsProbes reports whether the service's load is so high that a target which has just become cold may get more than
// it tolerates, or a target of the data centre is cold, the load of which moves to the others.
func (placer *Placer) needsProbes(service string, now time.Duration) bool {
	targets := placer.byService[service]
	bound := placer.warmups[service].Rate*placer.warmupBounds.Overshoot + placer.warmupBounds.Tolerance
	if placer.Load(service, now) >= probeShare*bound*placer.fleetShare()*float64(len(targets)) {
		return true
	}
	return len(placer.cold) > 0 && slices.ContainsFunc(targets, func(known *target) bool { return placer.isNear(known) && placer.isCold(known, now) })
}

// noteDue notes that this VM is the one that probes the target, and reports whether a probe is due. It must be called
// also while none is needed, as the pauses between its calls show that the VM was frozen.
func (probing *probing) noteDue(now time.Duration) bool {
	if !probing.checked || now-probing.checkedAt > probeGap {
		probing.since = now
	}
	probing.checked, probing.checkedAt = true, now
	return now-probing.since >= probeSettleTime && (!probing.sent || now-probing.sentAt >= probeInterval)
}

// ReportWarmup records how long a target remains cold by the answer to a probe of this VM or another. It reports whether
// the other VMs should be told.
func (placer *Placer) ReportWarmup(id string, incarnation int64, remaining, now time.Duration) bool {
	known := placer.instanceOf(id, incarnation)
	if known == nil || remaining <= 0 {
		return false
	}
	known.warmup.probedAt, known.warmup.probedUntil = now, now+remaining
	placer.updateWarmup(known, now)
	return true
}
