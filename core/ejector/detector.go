package ejector

import (
	"slices"
	"strings"
	"time"

	"godwitramp.example/core/configurator"
)

const (
	// Half-lives of the baseline shares of a group. The short one follows faults of
	// the whole service, which are no reason to eject a target.
	longHalfLife  = 10 * time.Minute
	shortHalfLife = 5 * time.Second
	// The share of bad observations, and their minimum number, from which a fault
	// counts as one of the whole service.
	serviceFaultShare    = 0.05
	minServiceFaultCount = 20

	// The prior of the baseline share, in observations.
	priorBad = 1
	priorAll = 500

	// A VM that alone reports a target as bad, with this many observations above its
	// bound and for this long, has a broken path to it. Its evidence is ignored for
	// ignorePeriod.
	maxSoleExcess       = 1
	minSoleReporterTime = time.Second
	ignorePeriod        = 2 * time.Minute

	// A VM counts as a reporter for reporterWindow after its last batch; at most
	// maxReporters are counted. localWindow is the same for VMs in the data centre
	// of the target.
	reporterWindow = 10 * time.Second
	maxReporters   = 16
	localWindow    = 2 * time.Second

	// Slowness of a new target is ignored during its cold start.
	coldStartTime = 15 * time.Second

	// After an ejection, half of the evidence is enough for this time, since a
	// returning target receives few requests.
	probationTime = 30 * time.Second
)

// Detector merges the evidence of VMs about the targets of one group. It isn't safe
// for concurrent use.
type Detector struct {
	// Region is the region of the targets.
	Region string

	configured bool
	byTarget   map[configurator.Path]*evidence
	// sorted holds the evidence by path, so that floating-point sums don't depend on
	// map order.
	sorted []*evidence
}

// evidence is the evidence about one target.
type evidence struct {
	target      configurator.Target
	errors      signal
	slowness    signal
	arrivalRate arrivalRate
	updatedAt   time.Duration
	// assumedGood counts good observations that were assumed and not yet reported;
	// undeductedBad counts bad ones not yet deducted from the assumed ones.
	assumedGood, undeductedBad float64
	reporters                  map[string]time.Duration
	ignored                    map[string]time.Duration
	localSeenAt                time.Duration
	coldUntil                  time.Duration
	// probationUntil is the time until which less evidence is enough after an
	// ejection.
	probationUntil time.Duration
}

// signal is the evidence for one kind of fault of a target.
type signal struct {
	cusum               cusum
	longTerm, shortTerm decayingShare
}

// Configure sets the targets of the service. Evidence about a target is kept while
// its path and address are unchanged, and dropped otherwise.
func (detector *Detector) Configure(service *configurator.ServiceTargets, now time.Duration) {
	known := detector.byTarget
	detector.byTarget = make(map[configurator.Path]*evidence)
	detector.sorted = nil
	for _, target := range service.Targets {
		if target.Region != detector.Region {
			continue
		}
		kept := known[target.Path]
		if kept == nil || kept.target.Address != target.Address {
			kept = newEvidence(now, detector.configured)
		}
		kept.target = target
		detector.byTarget[target.Path] = kept
		detector.sorted = append(detector.sorted, kept)
	}
	slices.SortFunc(detector.sorted, func(a, b *evidence) int {
		return strings.Compare(string(a.target.Path), string(b.target.Path))
	})
	detector.configured = true
}

func newEvidence(now time.Duration, cold bool) *evidence {
	evidence := &evidence{reporters: make(map[string]time.Duration), ignored: make(map[string]time.Duration), updatedAt: now, localSeenAt: -localWindow}
	if cold {
		evidence.coldUntil = now + coldStartTime
	}
	return evidence
}

// Add adds the observations of one VM.
func (detector *Detector) Add(batch Batch, now time.Duration) {
	for _, tally := range batch.Tallies {
		if evidence := detector.byTarget[tally.Target]; evidence != nil {
			detector.addTally(evidence, batch, tally, now)
		}
	}
}

func (detector *Detector) addTally(evidence *evidence, batch Batch, tally Tally, now time.Duration) {
	if until, ok := evidence.ignored[batch.VM]; ok && now < until {
		if tally.Bad+tally.Slow > 0 {
			evidence.ignored[batch.VM] = now + ignorePeriod
		}
		return
	}
	delete(evidence.ignored, batch.VM)
	evidence.addReporter(batch, now)
	errors := logRatiosFor(detector.baselineShare(evidence, errorsOf, now))
	slowness := logRatiosFor(detector.baselineShare(evidence, slownessOf, now))
	evidence.addGood(tally, errors, slowness, now)
	sameDataCentre := batch.DataCentre == evidence.target.DataCentre
	evidence.addBad(&evidence.errors, batch.VM, tally.Bad, errors, sameDataCentre, now)
	if now >= evidence.coldUntil {
		evidence.addBad(&evidence.slowness, batch.VM, tally.Slow, slowness, sameDataCentre, now)
	}
	all := tally.Good + tally.Slow + tally.Bad
	evidence.errors.count(tally.Bad, all, now)
	evidence.slowness.count(tally.Slow, all, now)
}

func (signal *signal) count(bad, all int, now time.Duration) {
	signal.longTerm.add(bad, all, longHalfLife, now)
	signal.shortTerm.add(bad, all, shortHalfLife, now)
}

func errorsOf(evidence *evidence) *signal { return &evidence.errors }

func slownessOf(evidence *evidence) *signal { return &evidence.slowness }

// baselineShare returns the share of bad observations at the other targets of the
// group.
func (detector *Detector) baselineShare(excluded *evidence, signalOf func(*evidence) *signal, now time.Duration) float64 {
	longTerm := decayingShare{bad: priorBad, all: priorAll}
	var shortTerm decayingShare
	for _, other := range detector.sorted {
		if other == excluded {
			continue
		}
		signal := signalOf(other)
		signal.longTerm.decay(longHalfLife, now)
		signal.shortTerm.decay(shortHalfLife, now)
		longTerm.bad += signal.longTerm.bad
		longTerm.all += signal.longTerm.all
		shortTerm.bad += signal.shortTerm.bad
		shortTerm.all += signal.shortTerm.all
	}
	baselineShare := longTerm.bad / longTerm.all
	if shortTerm.all >= minServiceFaultCount && shortTerm.bad/shortTerm.all >= serviceFaultShare {
		baselineShare = max(baselineShare, shortTerm.bad/shortTerm.all)
	}
	return baselineShare
}

// addReporter records that the VM reports about the target.
func (evidence *evidence) addReporter(batch Batch, now time.Duration) {
	if batch.DataCentre == evidence.target.DataCentre {
		evidence.localSeenAt = now
	}
	_, known := evidence.reporters[batch.VM]
	if !known && len(evidence.reporters) >= maxReporters {
		for vm, seen := range evidence.reporters {
			if now-seen > reporterWindow {
				delete(evidence.reporters, vm)
			}
		}
	}
	if known || len(evidence.reporters) < maxReporters {
		evidence.reporters[batch.VM] = now
	}
}

// addGood lowers the scores by the good observations. VMs report these with a delay,
// but bad ones at once. Good observations are therefore assumed to arrive at the
// past rate, less the bad ones, and reported ones count only if they exceed the
// assumed number.
func (evidence *evidence) addGood(tally Tally, errors, slowness logRatios, now time.Duration) {
	bad, good := tally.Bad+tally.Slow, float64(tally.Good)
	expected := evidence.arrivalRate.perSecondAt(now) * (now - evidence.updatedAt).Seconds()
	evidence.updatedAt = now
	evidence.arrivalRate.add(tally.Good+bad, now)
	evidence.undeductedBad += float64(bad)
	deducted := min(evidence.undeductedBad, expected)
	evidence.undeductedBad -= deducted
	expected -= deducted
	evidence.assumedGood += expected
	unexpected := max(0, good-evidence.assumedGood)
	evidence.assumedGood = max(0, evidence.assumedGood-good)
	evidence.errors.cusum.decrease(-errors.good * (expected + unexpected))
	evidence.slowness.cusum.decrease(-slowness.good * (expected + unexpected))
}

// addBad raises the score of the signal by the bad observations of one VM. The VM's
// contribution is bounded: at most half of the threshold, and less the more VMs report,
// but enough for two bad observations if these are within half of the threshold.
func (evidence *evidence) addBad(signal *signal, vm string, count int, logRatios logRatios, sameDataCentre bool, now time.Duration) {
	bound := min(threshold/2, max(2*logRatios.bad, threshold/max(2, float64(len(evidence.reporters))/2)))
	for range count {
		signal.cusum.increase(vm, logRatios.bad, bound, sameDataCentre, now)
	}
	if signal.cusum.isSoleReporter(vm, logRatios.bad, now) {
		signal.cusum.removeVM(vm)
		evidence.ignored[vm] = now + ignorePeriod
	}
}

// Outliers returns the targets to eject, sorted by path.
func (detector *Detector) Outliers(now time.Duration) []Outlier {
	var outliers []Outlier
	for _, evidence := range detector.sorted {
		for _, signal := range []*signal{&evidence.errors, &evidence.slowness} {
			if evidence.isOutlier(&signal.cusum, now) {
				outliers = append(outliers, Outlier{Target: evidence.target.Path, Since: signal.cusum.since})
				break
			}
		}
	}
	return outliers
}

// isOutlier reports whether the score reaches the threshold with contributions of at
// least two VMs. If VMs in the target's data centre have recently reported about it,
// they must contribute half of the required score; otherwise the fault is on the
// path between two data centres.
func (evidence *evidence) isOutlier(cusum *cusum, now time.Duration) bool {
	limit := threshold
	if now < evidence.probationUntil {
		limit /= 2
	}
	if cusum.score < limit || len(cusum.contributions) < 2 {
		return false
	}
	return cusum.localScore >= limit/2 || now-evidence.localSeenAt > localWindow
}

// Clear drops the evidence against a target that is ejected or returns from an
// ejection.
func (detector *Detector) Clear(target configurator.Path, now time.Duration) {
	if evidence := detector.byTarget[target]; evidence != nil {
		evidence.errors.cusum.restart()
		evidence.slowness.cusum.restart()
		evidence.probationUntil = now + probationTime
	}
}
