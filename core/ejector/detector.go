package ejector

import (
	"slices"
	"strings"
	"time"

	"godwitramp.example/core/configurator"
)

const (
	// Half-lives of the usual shares of a group. The short one follows faults
	// of the whole service, for which no target is to blame.
	longHalfLife  = 10 * time.Minute
	shortHalfLife = 5 * time.Second
	// Share from which a fault counts as one of the whole service.
	wideFault    = 0.05
	minWideCount = 20

	// Observations that the usual share begins with.
	priorBad = 1
	priorAll = 500

	// A VM that finds a target bad this often, alone, has a broken path to it.
	maxExcess  = 1
	aloneTime  = time.Second
	ignoreTime = 2 * time.Minute

	// Time in which a VM counts as one that reports, and the most counted.
	reporterTime = 10 * time.Second
	maxReporters = 16
	nearTime     = 2 * time.Second

	// Slowness of a new target says nothing while it is cold.
	coldTime = 15 * time.Second

	// Time after an ejection in which half of the evidence is enough, since a
	// returning target gets few requests.
	probationTime = 30 * time.Second
)

// Detector merges the evidence of VMs about the targets of one group. It isn't
// safe for concurrent use.
type Detector struct {
	// Region is the region of the targets.
	Region string

	followed bool
	trials   map[configurator.Path]*trial
	// order has the trials by path, so that sums don't depend on map order.
	order []*trial
}

// trial is the evidence about one target.
type trial struct {
	target   configurator.Target
	errors   symptom
	slowness symptom
	pace     pace
	settled  time.Duration
	// credit is how many good observations were assumed before they arrived,
	// and debt how many bad ones arrived in place of assumed good ones.
	credit, debt float64
	reporters    map[string]time.Duration
	ignored      map[string]time.Duration
	nearSeen     time.Duration
	coldUntil    time.Duration
	// probation is until when less evidence is enough, after an ejection.
	probation time.Duration
}

// symptom is one way in which a target may be faulty.
type symptom struct {
	sequence    sequence
	long, short share
}

// Follow takes over a declaration of the service: evidence about targets that
// are gone is dropped.
func (detector *Detector) Follow(service *configurator.ServiceTargets, now time.Duration) {
	known := detector.trials
	detector.trials = make(map[configurator.Path]*trial)
	detector.order = nil
	for _, target := range service.Targets {
		if target.Region != detector.Region {
			continue
		}
		kept := known[target.Path]
		if kept == nil || kept.target.Address != target.Address {
			kept = newTrial(now, detector.followed)
		}
		kept.target = target
		detector.trials[target.Path] = kept
		detector.order = append(detector.order, kept)
	}
	slices.SortFunc(detector.order, func(a, b *trial) int {
		return strings.Compare(string(a.target.Path), string(b.target.Path))
	})
	detector.followed = true
}

func newTrial(now time.Duration, cold bool) *trial {
	trial := &trial{reporters: make(map[string]time.Duration), ignored: make(map[string]time.Duration), settled: now, nearSeen: -nearTime}
	if cold {
		trial.coldUntil = now + coldTime
	}
	return trial
}

// Add takes the evidence of one VM.
func (detector *Detector) Add(batch Batch, now time.Duration) {
	for _, tally := range batch.Tallies {
		if trial := detector.trials[tally.Target]; trial != nil {
			detector.try(trial, batch, tally, now)
		}
	}
}

func (detector *Detector) try(trial *trial, batch Batch, tally Tally, now time.Duration) {
	if until, ok := trial.ignored[batch.VM]; ok && now < until {
		if tally.Bad+tally.Slow > 0 {
			trial.ignored[batch.VM] = now + ignoreTime
		}
		return
	}
	delete(trial.ignored, batch.VM)
	trial.report(batch, now)
	errors := oddsFor(detector.usual(trial, errorsOf, now))
	slowness := oddsFor(detector.usual(trial, slownessOf, now))
	trial.settle(tally, errors, slowness, now)
	beside := batch.DataCentre == trial.target.DataCentre
	trial.raise(&trial.errors, batch.VM, tally.Bad, errors, beside, now)
	if now >= trial.coldUntil {
		trial.raise(&trial.slowness, batch.VM, tally.Slow, slowness, beside, now)
	}
	all := tally.Good + tally.Slow + tally.Bad
	trial.errors.note(tally.Bad, all, now)
	trial.slowness.note(tally.Slow, all, now)
}

func (symptom *symptom) note(bad, all int, now time.Duration) {
	symptom.long.add(bad, all, longHalfLife, now)
	symptom.short.add(bad, all, shortHalfLife, now)
}

func errorsOf(trial *trial) *symptom { return &trial.errors }

func slownessOf(trial *trial) *symptom { return &trial.slowness }

// usual returns the share of bad observations at the group's other targets.
func (detector *Detector) usual(judged *trial, of func(*trial) *symptom, now time.Duration) float64 {
	long := share{bad: priorBad, all: priorAll}
	var short share
	for _, other := range detector.order {
		if other == judged {
			continue
		}
		symptom := of(other)
		symptom.long.fade(longHalfLife, now)
		symptom.short.fade(shortHalfLife, now)
		long.bad += symptom.long.bad
		long.all += symptom.long.all
		short.bad += symptom.short.bad
		short.all += symptom.short.all
	}
	usual := long.bad / long.all
	if short.all >= minWideCount && short.bad/short.all >= wideFault {
		usual = max(usual, short.bad/short.all)
	}
	return usual
}

// report remembers that the VM reports about the target.
func (trial *trial) report(batch Batch, now time.Duration) {
	if batch.DataCentre == trial.target.DataCentre {
		trial.nearSeen = now
	}
	_, known := trial.reporters[batch.VM]
	if !known && len(trial.reporters) >= maxReporters {
		for vm, seen := range trial.reporters {
			if now-seen > reporterTime {
				delete(trial.reporters, vm)
			}
		}
	}
	if known || len(trial.reporters) < maxReporters {
		trial.reporters[batch.VM] = now
	}
}

// settle lowers the sequences by the good observations. VMs report them
// late, bad ones at once; so they are assumed at the pace of the past, less
// the bad ones, and reported ones count only as far as they exceed that.
func (trial *trial) settle(tally Tally, errors, slowness odds, now time.Duration) {
	bad, good := tally.Bad+tally.Slow, float64(tally.Good)
	assumed := trial.pace.now(now) * (now - trial.settled).Seconds()
	trial.settled = now
	trial.pace.add(tally.Good+bad, now)
	trial.debt += float64(bad)
	paid := min(trial.debt, assumed)
	trial.debt -= paid
	assumed -= paid
	trial.credit += assumed
	extra := max(0, good-trial.credit)
	trial.credit = max(0, trial.credit-good)
	trial.errors.sequence.lower(-errors.good * (assumed + extra))
	trial.slowness.sequence.lower(-slowness.good * (assumed + extra))
}

func (trial *trial) raise(symptom *symptom, vm string, count int, odds odds, beside bool, now time.Duration) {
	bound := min(threshold/2, max(2*odds.bad, threshold/max(2, float64(len(trial.reporters))/2)))
	for range count {
		symptom.sequence.raise(vm, odds.bad, bound, beside, now)
	}
	if symptom.sequence.aloneAgainst(vm, odds.bad, now) {
		symptom.sequence.remove(vm)
		trial.ignored[vm] = now + ignoreTime
	}
}

// Verdicts returns the targets that the evidence condemns, sorted by path.
func (detector *Detector) Verdicts(now time.Duration) []Verdict {
	var verdicts []Verdict
	for _, trial := range detector.order {
		for _, symptom := range []*symptom{&trial.errors, &trial.slowness} {
			if trial.condemned(&symptom.sequence, now) {
				verdicts = append(verdicts, Verdict{Target: trial.target.Path, Since: symptom.sequence.since})
				break
			}
		}
	}
	return verdicts
}

// condemned reports whether the score is high enough. Where VMs beside the
// target have lately reported about it, half of the score must be theirs: else
// the path between two data centres is at fault.
func (trial *trial) condemned(sequence *sequence, now time.Duration) bool {
	limit := threshold
	if now < trial.probation {
		limit /= 2
	}
	if sequence.score < limit || len(sequence.added) < 2 {
		return false
	}
	return sequence.near >= limit/2 || now-trial.nearSeen > nearTime
}

// Clear forgets the evidence against a target that is ejected or comes back.
func (detector *Detector) Clear(target configurator.Path, now time.Duration) {
	if trial := detector.trials[target]; trial != nil {
		trial.errors.sequence.restart()
		trial.slowness.sequence.restart()
		trial.probation = now + probationTime
	}
}
