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
	KillVM   Kind = "kill-vm"
	KillAll  Kind = "kill-all-vms"
	StopVM   Kind = "stop-vm"
	FreezeVM Kind = "freeze-vm"
	ReloadVM Kind = "reload-vm"
)

// Faults of the store, for all VMs and for one.
const (
	StoreRefuses Kind = "store-refuses"
	StoreBusy    Kind = "store-busy"
	StoreSilent  Kind = "store-silent"
	StoreSlow    Kind = "store-slow"
	StoreLoses   Kind = "store-loses-answers"
	StoreForgets Kind = "store-forgets"
	CutFromStore Kind = "cut-from-store"
	ResetByStore Kind = "reset-by-store"
	StoreOneWay  Kind = "store-one-way"
)

// Faults of targets and of the way to them.
const (
	TargetFails   Kind = "target-fails"
	TargetSlow    Kind = "target-slow"
	TargetFull    Kind = "target-full"
	TargetSilent  Kind = "target-silent"
	TargetCloses  Kind = "target-closes"
	TargetGarbles Kind = "target-garbles"
	TargetCuts    Kind = "target-cuts-answers"
	TargetRepeats Kind = "target-repeats-answers"
	TargetLeaves  Kind = "target-leaves"
	TargetCrash   Kind = "target-crash"
	TargetSwap    Kind = "target-address-reused"
	LinkSlow      Kind = "link-slow"
	LinkResets    Kind = "link-resets"
	LinkOneWay    Kind = "link-one-way"
)

// Changes of the configuration, and what callers do.
const (
	Withdraw   Kind = "withdraw-key"
	MoveRoute  Kind = "move-route"
	AddRoute   Kind = "add-route"
	ForgeEntry Kind = "forge-target"
	Flood      Kind = "flood"
	GiveUp     Kind = "callers-give-up"
)

// Fault is one fault of a plan.
type Fault struct {
	Kind Kind
	// At is counted from the start of traffic.
	At time.Duration
	// For is how long it lasts.
	For time.Duration
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
type group struct {
	// weight is relative to the sum of the groups' weights.
	weight int
	// stretch lengthens the faults, unless it is zero.
	stretch  float64
	subjects func(Plan) int
	kinds    []Kind
	// calm are the kinds under odd seeds, kinds unless set.
	calm []Kind
}

var groups = []group{
	{weight: 3, subjects: func(plan Plan) int { return plan.VMs },
		kinds: []Kind{KillVM, KillVM, KillAll, StopVM, StopVM, StopVM, FreezeVM, ReloadVM}},
	{weight: 2, stretch: storeStretch, subjects: func(plan Plan) int { return plan.VMs },
		kinds: []Kind{
			StoreRefuses, StoreBusy, StoreSilent, StoreSlow, StoreLoses, StoreForgets,
			CutFromStore, ResetByStore, StoreOneWay,
		},
		// Bounds that hold while the store is sound need times in which it is.
		calm: []Kind{StoreForgets, CutFromStore, ResetByStore, StoreOneWay}},
	{weight: 4, subjects: func(plan Plan) int { return plan.Targets },
		kinds: []Kind{
			TargetFails, TargetFails, TargetSlow, TargetFull, TargetSilent, TargetCloses, TargetGarbles, TargetCuts, TargetRepeats,
			TargetLeaves, TargetLeaves, TargetCrash, TargetSwap, LinkSlow, LinkResets, LinkOneWay,
		}},
	{weight: 3, subjects: func(Plan) int { return 1 },
		kinds: []Kind{Withdraw, Withdraw, MoveRoute, AddRoute, ForgeEntry, Flood, GiveUp}},
}

const (
	// meanGap is the mean time between two faults, short enough that several
	// overlap.
	meanGap = 700 * time.Millisecond
	// shortest and longest bound how long a fault lasts.
	shortest = 300 * time.Millisecond
	longest  = 7 * time.Second
	// storeStretch makes half of the faults of the store outlast the time in which
	// a VM that is cut off must refuse keys.
	storeStretch = 1.6
	// atOnce is the most faults that begin together.
	atOnce = 3
)

// Faults returns the faults in the order of their start. Equal plans have equal
// faults. All of them end within the duration.
func (plan Plan) Faults() []Fault {
	random := rand.New(rand.NewPCG(plan.Seed, 0))
	var faults []Fault
	at := meanGap
	for at < plan.Duration-shortest {
		for range 1 + random.IntN(atOnce)*random.IntN(2) {
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
	if plan.Seed%2 == 1 && len(group.calm) > 0 {
		kinds = group.calm
	}
	lasts := shortest + time.Duration(random.Int64N(int64(longest-shortest)))
	if group.stretch > 0 {
		lasts = time.Duration(group.stretch * float64(lasts))
	}
	return Fault{
		Kind: kinds[random.IntN(len(kinds))], At: at, For: min(lasts, plan.Duration-at),
		Subject: random.IntN(group.subjects(plan)),
	}
}
