// Package planner draws the faults that a soak injects: their kinds, times,
// durations and subjects follow from the seed alone, so that a soak can be replayed.
//
// # Usage
//
//	plan := planner.Plan{Seed: 7, Duration: time.Minute, VMs: 12, Targets: 8}
//	for _, fault := range plan.Faults() { ... }
package planner

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is the kind of a fault. Its text is part of the output of soak.
type Kind string

// Faults of VMs.
const (
	KillVM     Kind = "kill-vm"
	KillAllVMs Kind = "kill-all-vms"
	StopVM     Kind = "stop-vm"
	FreezeVM   Kind = "freeze-vm"
	ReloadVM   Kind = "reload-vm"
)

// Faults of the store for all VMs, and of the link from one VM to the store.
const (
	StoreRefuses        Kind = "store-refuses"
	StoreBusy           Kind = "store-busy"
	StoreSilent         Kind = "store-silent"
	StoreSlow           Kind = "store-slow"
	StoreLosesAnswers   Kind = "store-loses-answers"
	StoreForgetsHistory Kind = "store-forgets"
	RestoreStore        Kind = "store-restored"
	CutFromStore        Kind = "cut-from-store"
	ResetByStore        Kind = "reset-by-store"
	StoreOneWay         Kind = "store-one-way"
)

// Faults of targets and of the links to them.
const (
	TargetFails     Kind = "target-fails"
	TargetSlow      Kind = "target-slow"
	TargetFull      Kind = "target-full"
	TargetSilent    Kind = "target-silent"
	TargetCloses    Kind = "target-closes"
	TargetGarbles   Kind = "target-garbles"
	TargetTruncates Kind = "target-cuts-answers"
	TargetRepeats   Kind = "target-repeats-answers"
	TargetCopies    Kind = "targets-copy-rejections"
	TargetsStray    Kind = "targets-send-strays"
	TargetsRestart  Kind = "targets-restart"
	TargetLimits    Kind = "target-names-limit"
	TargetLeaves    Kind = "target-leaves"
	TargetCrashes   Kind = "target-crash"
	AddressReused   Kind = "target-address-reused"
	CrashingRequest Kind = "request-crashes-targets"
	LinkSlow        Kind = "link-slow"
	LinkResets      Kind = "link-resets"
	LinkOneWay      Kind = "link-one-way"
)

// Changes of the configuration and of target entries, and behaviour of callers.
const (
	WithdrawKey       Kind = "withdraw-key"
	MoveRoute         Kind = "move-route"
	AddRoute          Kind = "add-route"
	ForgeTarget       Kind = "forge-target"
	Flood             Kind = "flood"
	CallersGiveUp     Kind = "callers-give-up"
	Evacuate          Kind = "data-centre-evacuated"
	ChangeHomes       Kind = "home-regions-changed"
	TargetCold        Kind = "target-cold"
	TargetColdLateRow Kind = "target-cold-late-row"
)

// Fault is one fault of a plan.
type Fault struct {
	Kind Kind
	// At is the time since the start of traffic.
	At time.Duration
	// Duration is how long the fault lasts.
	Duration time.Duration
	// Subject is the index of the affected VM or target, from 0.
	Subject int
}

// Plan holds the inputs from which faults are drawn.
type Plan struct {
	Seed     uint64
	Duration time.Duration
	VMs      int
	Targets  int
	// DataCentres is the number of data centres that may be evacuated.
	DataCentres int
}

// kindGroup is a set of kinds that affect the same sort of subject. A kind that is
// listed more than once is drawn more often.
type kindGroup struct {
	// weight is relative to the sum of the weights of all groups.
	weight int
	// durationFactor multiplies the durations of faults; 0 leaves them unchanged.
	durationFactor float64
	subjectCount   func(Plan) int
	kinds          []Kind
	// oddSeedKinds replaces kinds under odd seeds, unless it is empty.
	oddSeedKinds []Kind
}

var groups = []kindGroup{
	{weight: 3, subjectCount: func(plan Plan) int { return plan.VMs },
		kinds: []Kind{KillVM, KillVM, KillAllVMs, StopVM, StopVM, StopVM, FreezeVM, ReloadVM}},
	{weight: 2, durationFactor: storeDurationFactor, subjectCount: func(plan Plan) int { return plan.VMs },
		kinds: []Kind{
			StoreRefuses, StoreBusy, StoreSilent, StoreSlow, StoreLosesAnswers, StoreForgetsHistory,
			CutFromStore, ResetByStore, StoreOneWay,
		},
		// Some bounds hold only while the store works. Odd seeds leave out the faults
		// of the store for all VMs, so that those bounds are checked as well.
		oddSeedKinds: []Kind{StoreForgetsHistory, CutFromStore, ResetByStore, StoreOneWay}},
	{weight: 4, subjectCount: func(plan Plan) int { return plan.Targets },
		kinds: []Kind{
			TargetFails, TargetFails, TargetSlow, TargetFull, TargetSilent, TargetCloses, TargetGarbles, TargetTruncates, TargetRepeats,
			TargetLeaves, TargetLeaves, TargetCrashes, AddressReused, LinkSlow, LinkResets, LinkOneWay,
		}},
	{weight: 3, subjectCount: func(Plan) int { return 1 },
		kinds: []Kind{WithdrawKey, WithdrawKey, MoveRoute, AddRoute, ForgeTarget, Flood, CallersGiveUp}},
}

const (
	// meanGap is the mean time between two faults, short enough that faults overlap.
	meanGap = 700 * time.Millisecond
	// Durations are drawn between minDuration and maxDuration.
	minDuration = 300 * time.Millisecond
	maxDuration = 7 * time.Second
	// storeDurationFactor makes half of the faults of the store last longer than the
	// time after which a disconnected VM must reject keys.
	storeDurationFactor = 1.6
	// meanRestoreGap is about the mean time between two restores of the store, which is away
	// between minAway and maxAway. Every other one is followed by another within maxSecond,
	// and up to maxChanges changes come before.
	meanRestoreGap = 5 * time.Second
	maxChanges     = 6
	minAway        = 200 * time.Millisecond
	maxAway        = 2 * time.Second
	maxSecond      = 2500 * time.Millisecond
	// maxSimultaneous is the maximum number of faults that start at the same time.
	maxSimultaneous = 3
)

// Faults returns the faults in the order of their start. Equal plans give equal
// faults. All faults end within the duration of the plan.
func (plan Plan) Faults() []Fault {
	random := rand.New(rand.NewPCG(plan.Seed, 0))
	var faults []Fault
	at := meanGap
	for at < plan.Duration-minDuration {
		for range 1 + random.IntN(maxSimultaneous)*random.IntN(2) {
			faults = append(faults, plan.draw(random, at))
		}
		at += time.Duration(random.ExpFloat64() * float64(meanGap))
	}
	for _, draw := range []func(Plan) []Fault{
		Plan.restores, Plan.limits, Plan.crashes, Plan.copies, Plan.strays, Plan.evacuations, Plan.homes, Plan.warmups,
	} {
		faults = append(faults, draw(plan)...)
	}
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return faults
}

// draw draws one fault that starts at the given time.
func (plan Plan) draw(random *rand.Rand, at time.Duration) Fault {
	sum := 0
	for _, group := range groups {
		sum += group.weight
	}
	drawn, i := random.IntN(sum), 0
	for drawn >= groups[i].weight {
		drawn -= groups[i].weight
		i++
	}
	group := groups[i]
	kinds := group.kinds
	if plan.Seed%2 == 1 && len(group.oddSeedKinds) > 0 {
		kinds = group.oddSeedKinds
	}
	duration := minDuration + time.Duration(random.Int64N(int64(maxDuration-minDuration)))
	if group.durationFactor > 0 {
		duration = time.Duration(group.durationFactor * float64(duration))
	}
	return Fault{
		Kind: kinds[random.IntN(len(kinds))], At: at, Duration: min(duration, plan.Duration-at),
		Subject: random.IntN(group.subjectCount(plan)),
	}
}

// seeds is a range of seeds under which plans have faults of their own. Those are drawn apart from all others, so that
// other seeds play the same faults whether or not the range exists.
type seeds struct{ first, last uint64 }

// Under the first three ranges the store is restored from older copies, targets name limits, and requests crash targets.
// Under silenceSeeds such targets fall silent, and targets send late copies of rejections. Under straySeeds targets besides
// send stray answers of all kinds, and start again behind their addresses.
var (
	restoreSeeds    = seeds{1000, 1999}
	limitSeeds      = seeds{2000, 2999}
	crashSeeds      = seeds{3000, math.MaxUint64}
	homeSeeds       = seeds{4000, 4999}
	evacuationSeeds = seeds{5000, 5999}
	warmupSeeds     = seeds{6000, 6999}
	lateRowSeeds    = seeds{6500, 6999}
	silenceSeeds    = seeds{10000, math.MaxUint64}
	straySeeds      = seeds{11000, 11999}
)

func (seeds seeds) include(plan Plan) bool {
	return plan.Seed >= seeds.first && plan.Seed <= seeds.last
}

// Silences reports whether targets that crash fall silent.
func (plan Plan) Silences() bool { return silenceSeeds.include(plan) }

// Restores reports whether the plan restores the store.
func (plan Plan) Restores() bool { return restoreSeeds.include(plan) }

// HasWarmups reports whether targets are cold after their starts.
func (plan Plan) HasWarmups() bool { return warmupSeeds.include(plan) }

// Strays reports whether targets send stray answers.
func (plan Plan) Strays() bool { return straySeeds.include(plan) }

// series is faults of a kind that begin one after the other.
type series struct {
	kind Kind
	// first is when the first fault begins, and end the time from which none does.
	first, end time.Duration
	// The time between two starts is pause and another time with the mean gap.
	pause, gap time.Duration
	// Faults last from low to high, or have no duration if both are 0.
	low, high time.Duration
	// subjects is the number of possible subjects; 0 if the faults have none.
	subjects int
}

// drawSeries draws the faults of a series.
func (plan Plan) drawSeries(random *rand.Rand, series series) []Fault {
	var faults []Fault
	for at := series.first; at < series.end; at += series.pause + time.Duration(random.ExpFloat64()*float64(series.gap)) {
		fault := Fault{Kind: series.kind, At: at}
		if series.high > 0 {
			fault.Duration = min(series.low+time.Duration(random.Int64N(int64(series.high-series.low))), plan.Duration-at)
		}
		if series.subjects > 0 {
			fault.Subject = random.IntN(series.subjects)
		}
		faults = append(faults, fault)
	}
	return faults
}

const (
	// meanLimitGap is the mean time between two targets that begin to name a limit. They name it
	// for minLimitTime to maxLimitTime.
	meanLimitGap = 3 * time.Second
	minLimitTime = 6 * time.Second
	maxLimitTime = 15 * time.Second
	// meanCrashGap is the mean time between two requests that begin to crash targets. Each comes again and
	// again until the end.
	meanCrashGap = 10 * time.Second
	// meanCopyGap is the mean time between the times in which all targets reject the first attempt of each
	// request and send late copies of that, of minCopyTime to maxCopyTime.
	meanCopyGap = 8 * time.Second
	minCopyTime = time.Second
	maxCopyTime = 3 * time.Second
	// meanStrayGap is the mean time between the times in which all targets send stray answers, and
	// meanTargetRestartGap that between two times at which all targets of a service start again.
	meanStrayGap         = 4 * time.Second
	meanTargetRestartGap = 3 * time.Second
	// meanEvacuationGap is the mean time between two evacuations of a data centre. They last from minEvacuation to
	// maxEvacuation, or are taken back before that, within maxTakenBack, every fourth time.
	meanEvacuationGap = 12 * time.Second
	minEvacuation     = 6 * time.Second
	maxEvacuation     = 14 * time.Second
	maxTakenBack      = time.Second
	// meanHomesGap is the mean time between two changes of home regions. With 1.5 s nearly every region was permitted by
	// one of the versions that a VM might still use.
	meanHomesGap = 4 * time.Second
	// meanColdGap is the mean time between two targets that become cold again.
	meanColdGap = time.Second
)

// limits returns the times in which targets name limits.
func (plan Plan) limits() []Fault {
	if !limitSeeds.include(plan) {
		return nil
	}
	return plan.drawSeries(rand.New(rand.NewPCG(plan.Seed, 2)), series{
		kind: TargetLimits, end: plan.Duration - minLimitTime, gap: meanLimitGap, low: minLimitTime, high: maxLimitTime, subjects: plan.Targets,
	})
}

// crashes returns the requests that crash targets.
func (plan Plan) crashes() []Fault {
	if !crashSeeds.include(plan) {
		return nil
	}
	random := rand.New(rand.NewPCG(plan.Seed, 3))
	faults := plan.drawSeries(random, series{
		kind: CrashingRequest, first: time.Duration(random.Int64N(int64(meanCrashGap / 2))), end: plan.Duration, gap: meanCrashGap,
	})
	for i := range faults {
		faults[i].Duration, faults[i].Subject = plan.Duration-faults[i].At, i
	}
	return faults
}

// copies returns the times in which targets send late copies.
func (plan Plan) copies() []Fault {
	if !plan.Silences() {
		return nil
	}
	return plan.drawAnswerFaults(rand.New(rand.NewPCG(plan.Seed, 4)), TargetCopies, meanCopyGap)
}

// drawAnswerFaults draws the times in which all targets send wrong answers.
func (plan Plan) drawAnswerFaults(random *rand.Rand, kind Kind, gap time.Duration) []Fault {
	return plan.drawSeries(random, series{
		kind: kind, first: time.Duration(random.Int64N(int64(gap))), end: plan.Duration, pause: maxCopyTime, gap: gap,
		low: minCopyTime, high: maxCopyTime,
	})
}

// strays returns the times in which targets send stray answers and those at which they start again.
func (plan Plan) strays() []Fault {
	if !plan.Strays() {
		return nil
	}
	random := rand.New(rand.NewPCG(plan.Seed, 5))
	faults := plan.drawAnswerFaults(random, TargetsStray, meanStrayGap)
	return append(faults, plan.drawSeries(random, series{
		kind: TargetsRestart, first: time.Duration(random.Int64N(int64(meanTargetRestartGap))), end: plan.Duration, gap: meanTargetRestartGap,
		subjects: services,
	})...)
}

// evacuations returns the evacuations of data centres, those of each one after the other.
func (plan Plan) evacuations() []Fault {
	if !evacuationSeeds.include(plan) {
		return nil
	}
	random := rand.New(rand.NewPCG(plan.Seed, 6))
	var faults []Fault
	for dataCentre := range plan.DataCentres {
		at := time.Duration(random.Int64N(int64(meanEvacuationGap)))
		for at < plan.Duration {
			duration := minEvacuation + time.Duration(random.Int64N(int64(maxEvacuation-minEvacuation)))
			if random.IntN(4) == 0 {
				duration = time.Duration(random.Int64N(int64(maxTakenBack)))
			}
			duration = min(duration, plan.Duration-at)
			faults = append(faults, Fault{Kind: Evacuate, At: at, Duration: duration, Subject: dataCentre})
			at += duration + time.Second + time.Duration(random.ExpFloat64()*float64(meanEvacuationGap))
		}
	}
	return faults
}

// HomeChoices is the number of subjects of a change of home regions. Each stands for a route, and for the
// regions of the route and of an organisation.
const HomeChoices = 3 * 4 * 4

// homes returns the changes of home regions.
func (plan Plan) homes() []Fault {
	if !homeSeeds.include(plan) {
		return nil
	}
	return plan.drawSeries(rand.New(rand.NewPCG(plan.Seed, 7)), series{
		kind: ChangeHomes, end: plan.Duration, gap: meanHomesGap, subjects: HomeChoices,
	})
}

// warmups returns the times at which targets become cold again without a start. Under lateRowSeeds half of them report it
// with their next heartbeat, the others at once.
func (plan Plan) warmups() []Fault {
	if !plan.HasWarmups() {
		return nil
	}
	random := rand.New(rand.NewPCG(plan.Seed, 8))
	faults := plan.drawSeries(random, series{kind: TargetCold, end: plan.Duration, gap: meanColdGap, subjects: plan.Targets})
	for i := range faults {
		if lateRowSeeds.include(plan) && random.IntN(2) == 0 {
			faults[i].Kind = TargetColdLateRow
		}
	}
	return faults
}

// services is the number of services of the targets, which have them in rotation.
const services = 3

// Changes and faults of VMs that begin around a restore.
var (
	changes         = []Kind{WithdrawKey, MoveRoute, AddRoute, ForgeTarget, ForgeTarget}
	restoreVMFaults = []Kind{KillVM, KillVM, KillAllVMs, StopVM, FreezeVM, CutFromStore, ResetByStore}
)

// restores returns the restores of the store, with changes that they may undo, changes after
// them, and faults of VMs that begin around them.
func (plan Plan) restores() []Fault {
	if !plan.Restores() {
		return nil
	}
	random := rand.New(rand.NewPCG(plan.Seed, 1))
	between := func(low, high time.Duration) time.Duration {
		return low + time.Duration(random.Int64N(int64(high-low)))
	}
	var faults []Fault
	add := func(at, duration time.Duration, kinds ...Kind) {
		if at+duration < plan.Duration {
			faults = append(faults, Fault{Kind: kinds[random.IntN(len(kinds))], At: at, Duration: duration, Subject: random.IntN(plan.VMs)})
		}
	}
	for at := between(2*maxAway, 3*maxAway); at < plan.Duration; at += 2*maxAway + time.Duration(random.ExpFloat64()*float64(meanRestoreGap)) {
		for range random.IntN(maxChanges) {
			add(at-between(0, 2*maxAway), 0, changes...)
		}
		add(at, between(minAway, maxAway), RestoreStore)
		if random.IntN(2) == 0 {
			add(at+between(-maxAway, maxAway), between(minDuration, maxDuration), restoreVMFaults...)
		}
		if random.IntN(2) == 0 {
			at += between(minAway, maxSecond)
			add(at, between(minAway, maxAway), RestoreStore)
		}
		for range 1 + random.IntN(2) {
			add(at+between(maxAway, 2*maxAway), 0, changes...)
		}
	}
	return faults
}
