// Package planner draws the faults of a soak from its seed.
//
// # Usage
//
//	plan := planner.Plan{Seed: 7, Duration: time.Minute, VMs: 12, Targets: 8}
//	for _, fault := range plan.Faults() { ... }
package planner

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

// Kind is what goes wrong.
type Kind string

// Faults of VMs.
const (
	KillVM     Kind = "kill-vm"
	KillAllVMs Kind = "kill-all-vms"
	StopVM     Kind = "stop-vm"
	FreezeVM   Kind = "freeze-vm"
	ReloadVM   Kind = "reload-vm"
)

// Faults of the store, for all VMs and for one.
const (
	StoreRefuses        Kind = "store-refuses"
	StoreBusy           Kind = "store-busy"
	StoreSilent         Kind = "store-silent"
	StoreSlow           Kind = "store-slow"
	StoreLosesAnswers   Kind = "store-loses-answers"
	StoreForgetsHistory Kind = "store-forgets"
	CutFromStore        Kind = "cut-from-store"
	ResetByStore        Kind = "reset-by-store"
	StoreOneWay         Kind = "store-one-way"
)

// Faults of targets and of the way to them.
const (
	TargetFails     Kind = "target-fails"
	TargetSlow      Kind = "target-slow"
	TargetFull      Kind = "target-full"
	TargetSilent    Kind = "target-silent"
	TargetCloses    Kind = "target-closes"
	TargetGarbles   Kind = "target-garbles"
	TargetTruncates Kind = "target-cuts-answers"
	TargetRepeats   Kind = "target-repeats-answers"
	TargetLeaves    Kind = "target-leaves"
	TargetCrashes   Kind = "target-crash"
	AddressReused   Kind = "target-address-reused"
	LinkSlow        Kind = "link-slow"
	LinkResets      Kind = "link-resets"
	LinkOneWay      Kind = "link-one-way"
)

// Changes of the configuration, and what callers do.
const (
	WithdrawKey   Kind = "withdraw-key"
	MoveRoute     Kind = "move-route"
	AddRoute      Kind = "add-route"
	ForgeTarget   Kind = "forge-target"
	Flood         Kind = "flood"
	CallersGiveUp Kind = "callers-give-up"
)

// Fault is one fault of a plan.
type Fault struct {
	Kind Kind
	// At is counted from the start of traffic.
	At time.Duration
	// For is how long it lasts.
	Duration time.Duration
	// Subject is the number of the VM or target that it strikes.
	Subject int
}

// Plan says what to draw.
type Plan struct {
	Seed     uint64
	Duration time.Duration
	VMs      int
	Targets  int
}

// group is a set of kinds that strike the same sort of subject.
type kindGroup struct {
	// weight is relative to the sum of the groups' weights.
	weight int
	// stretch lengthens the faults, unless it is zero.
	durationFactor float64
	subjectCount   func(Plan) int
	kinds          []Kind
	// calm are the kinds under odd seeds, kinds unless set.
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
		// Bounds that hold while the store is sound need times in which it is.
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
	// meanGap is the mean time between two faults, short enough that several
	// overlap.
	meanGap = 700 * time.Millisecond
	// shortest and longest bound how long a fault lasts.
	minDuration = 300 * time.Millisecond
	maxDuration = 7 * time.Second
	// storeStretch makes half of the faults of the store outlast the time in which
	// a VM that is cut off must refuse keys.
	storeDurationFactor = 1.6
	// atOnce is the most faults that begin together.
	maxSimultaneous = 3
)

// Faults returns the faults in the order of their start. Equal plans have equal
// faults. All of them end within the duration.
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
	slices.SortStableFunc(faults, func(a, b Fault) int { return cmp.Compare(a.At, b.At) })
	return faults
}

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
