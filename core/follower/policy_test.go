package follower_test

import (
	"flag"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"
)

// tally counts the requests of one policy: each VM gets one with a valid key
// and one with a withdrawn key at each turn.
type tally struct {
	valid, refused int
	// after2 and after5 are requests served with the key more than so many
	// seconds after its withdrawal was recorded.
	after2, after5 int
}

// full makes the simulation as long as the faults are named; otherwise they
// last a thirtieth of that.
var full = flag.Bool("full", false, "simulate the whole length of each fault")

const shortened = 30

// fault is a scenario. The key is withdrawn half-way.
type fault struct {
	name string
	// away is true when operators can't record the withdrawal either.
	away   bool
	length time.Duration
	cut    func(from, to int) bool
	deaf   func(vm int) bool
}

const (
	policyVMs     = 40
	policyCentres = 6
	policyRegions = 3
)

func policyRegion(vm int) int { return vm % policyCentres * policyRegions / policyCentres }

func never(int) bool     { return false }
func none(_, _ int) bool { return false }

var faults = []fault{
	{"none, 1 h", false, time.Hour, none, never},
	{"store away, 3 h", true, 3 * time.Hour, none, nobody},
	{"away for VMs only, 3 h", false, 3 * time.Hour, none, nobody},
	{"region cut off, 1 h", false, time.Hour, func(from, to int) bool {
		return policyRegion(from) != policyRegion(to) && (policyRegion(from) == 2 || policyRegion(to) == 2)
	}, func(vm int) bool { return policyRegion(vm) == 2 }},
	{"one VM cut off, 1 h", false, time.Hour, func(from, to int) bool { return from == 7 || to == 7 }, func(vm int) bool { return vm == 7 }},
}

// simulate runs a scenario. Without witnesses no VM vouches that the store is
// silent.
func simulate(fault fault, witnesses bool, serves func(known bool) bool) tally {
	fleet := newFleet(policyVMs, policyCentres, policyRegions)
	for _, vm := range fleet.vms {
		vm.BesideStore = vm.BesideStore && witnesses
	}
	random := rand.New(rand.NewPCG(1, 1))
	fleet.record()
	fleet.turns(random, 10)
	fleet.cut, fleet.deaf = fault.cut, fault.deaf
	var tally tally
	length, begin := fault.length, fleet.now
	if !*full {
		length /= shortened
	}
	withdrawn := time.Duration(0)
	for fleet.now-begin < length {
		if !fault.away && withdrawn == 0 && fleet.now-begin >= length/2 {
			fleet.record()
			withdrawn = fleet.now
		}
		fleet.turns(random, 1)
		for _, vm := range fleet.vms {
			served := serves(vm.KeysKnown(fleet.reading()))
			tally.valid++
			if !served {
				tally.refused++
				continue
			}
			if withdrawn == 0 || vm.Revision() >= fleet.naive.Revision {
				continue
			}
			if fleet.now-withdrawn > 2*time.Second {
				tally.after2++
			}
			if fleet.now-withdrawn > 5*time.Second {
				tally.after5++
			}
		}
	}
	return tally
}

// TestPoliciesWhenCutOff measures what a VM that hears no store should do with
// keys: always serve, refuse after a grace, or refuse unless other VMs vouch
// that the store is silent for all.
func TestPoliciesWhenCutOff(t *testing.T) {
	is := is.New(t)
	always := func(bool) bool { return true }
	ifKnown := func(known bool) bool { return known }
	t.Logf("%-24s %-18s %10s %10s %8s %8s", "fault", "policy", "valid", "refused", ">2 s", ">5 s")
	for _, fault := range faults {
		serve, grace, vouched := simulate(fault, true, always), simulate(fault, false, ifKnown), simulate(fault, true, ifKnown)
		for _, row := range []struct {
			policy string
			tally
		}{{"always serve", serve}, {"refuse after grace", grace}, {"unless vouched", vouched}} {
			t.Logf("%-24s %-18s %10d %9.3f%% %8d %8d", fault.name, row.policy, row.valid,
				100*float64(row.refused)/float64(row.valid), row.after2, row.after5)
		}
		is.True(vouched.refused <= grace.refused)
		if fault.deaf(0) {
			is.Equal(vouched.refused, 0) // an outage refuses nobody
		} else {
			is.Equal(vouched.after5, 0) // nobody serves a withdrawn key
		}
	}
}
